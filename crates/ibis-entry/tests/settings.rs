//! Checks of the settings.

mod support;

fn check(changes: &[&str], expected: &[&str]) {
    let flag = |arg: &str| arg.split('=').next().unwrap_or_default().to_owned();
    let replaced: Vec<String> = changes.iter().map(|arg| flag(arg)).collect();
    let good = support::GOOD.into_iter().chain([support::HASH_KEY]);
    let kept = good.filter(|arg| !replaced.contains(&flag(arg)));
    let args: Vec<&str> = kept.chain(changes.iter().copied()).filter(|a| a.contains('=')).collect();
    let problems = support::read(args).err().map(|problems| problems.0).unwrap_or_default();
    let named: Vec<&str> = problems.iter().map(|problem| problem.setting.as_str()).collect();
    assert_eq!(named, expected, "{changes:?}: {problems:?}");
}

#[test]
fn read_good() {
    check(&[], &[]);
}

#[test]
fn read_wrong_value() {
    check(&["--peer-port=many"], &["--peer-port"]);
    check(&["--hash-key=xyz"], &["--hash-key"]);
    check(&["--source-ports=0"], &["--source-ports"]);
    check(&["--platform=not a url"], &["--platform"]);
    check(&["--peers=127.1.1.1,elsewhere"], &["--peers"]);
    check(&["--ca=/no/such/file"], &["--ca"]);
    check(&["--peer-port=7101"], &["--control-port"]);
}

#[test]
fn read_several_wrong() {
    check(&["--peer-port=many", "--linger-ms=-1"], &["--peer-port", "--linger-ms"]);
}

#[test]
fn read_missing() {
    check(&["--zone", "--name"], &["--name or IBIS_NAME", "--zone or IBIS_ZONE"]);
}

#[test]
fn read_unknown() {
    check(&["--colour=red"], &["--colour=red"]);
}
