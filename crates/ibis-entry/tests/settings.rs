//! Tests of reading and validating the settings.

mod support;

/// Checks that the valid arguments with `changes` applied give problems with the `expected` settings;
/// a change without `=` removes the argument.
fn check_problems(changes: &[&str], expected: &[&str]) {
    let flag = |arg: &str| arg.split('=').next().unwrap_or_default().to_owned();
    let overridden: Vec<String> = changes.iter().map(|arg| flag(arg)).collect();
    let valid = support::VALID_ARGS.into_iter().chain([support::HASH_KEY]);
    let unchanged = valid.filter(|arg| !overridden.contains(&flag(arg)));
    let args: Vec<&str> =
        unchanged.chain(changes.iter().copied()).filter(|a| a.contains('=')).collect();
    let problems = support::read(args).err().map(|problems| problems.0).unwrap_or_default();
    let settings: Vec<&str> = problems.iter().map(|problem| problem.setting.as_str()).collect();
    assert_eq!(settings, expected, "{changes:?}: {problems:?}");
}

#[test]
fn read_valid() {
    check_problems(&[], &[]);
}

#[test]
fn read_invalid_value() {
    check_problems(&["--peer-port=many"], &["--peer-port"]);
    check_problems(&["--hash-key=xyz"], &["--hash-key"]);
    check_problems(&["--source-ports=0"], &["--source-ports"]);
    check_problems(&["--platform=not a url"], &["--platform"]);
    check_problems(&["--peers=127.1.1.1,elsewhere"], &["--peers"]);
    check_problems(&["--ca=/no/such/file"], &["--ca"]);
    check_problems(&["--peer-port=7101"], &["--control-port"]);
}

#[test]
fn read_several_invalid() {
    check_problems(&["--peer-port=many", "--linger-ms=-1"], &["--peer-port", "--linger-ms"]);
}

#[test]
fn read_missing() {
    check_problems(&["--zone", "--name"], &["--name or IBIS_NAME", "--zone or IBIS_ZONE"]);
}

#[test]
fn read_unknown() {
    check_problems(&["--colour=red"], &["--colour=red"]);
}
