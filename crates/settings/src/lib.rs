//! Settings of a program, from flags and environment variables.
//!
//! A program declares each setting once; the help text comes from the same declaration. All
//! settings are read before any error is reported, so that one run names every mistake.

use std::ffi::OsString;
use std::fmt;
use std::str::FromStr;

/// A setting's declaration.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag, such as `--listen`.
    pub flag: &'static str,
    /// The environment variable, such as `IBIS_LISTEN`; the flag goes before it.
    pub env: &'static str,
    /// What it means, with its unit.
    pub help: &'static str,
    /// The value if neither is given; `None` if the setting is required.
    pub default: Option<&'static str>,
}

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The flag or variable.
    pub setting: String,
    /// What is wrong.
    pub reason: String,
}

/// All wrong settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{}: {}", problem.setting, problem.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Reads settings one by one and collects what is wrong.
#[derive(Debug)]
pub struct Reader {
    args: pico_args::Arguments,
    env: fn(&str) -> Option<String>,
    problems: Vec<Problem>,
}

impl Reader {
    /// Reads the process's own arguments and environment.
    pub fn from_process() -> Self {
        Self::new(std::env::args_os().skip(1).collect(), |name| std::env::var(name).ok())
    }

    /// Reads the given arguments and environment.
    pub fn new(args: Vec<OsString>, env: fn(&str) -> Option<String>) -> Self {
        Self { args: pico_args::Arguments::from_vec(args), env, problems: Vec::new() }
    }

    /// Whether help is asked for.
    pub fn wants_help(&mut self) -> bool {
        self.args.contains(["-h", "--help"])
    }

    /// Whether a flag without a value is given.
    pub fn switch(&mut self, flag: &'static str) -> bool {
        self.args.contains(flag)
    }

    /// Takes the next argument that is not a flag.
    pub fn positional(&mut self) -> Option<String> {
        self.args.opt_free_from_str().ok().flatten()
    }

    /// Reads a setting. A wrong or missing one is noted, and `fallback` returned in its place.
    pub fn value<T: FromStr>(&mut self, setting: &Setting, fallback: T) -> T
    where
        T::Err: fmt::Display,
    {
        let Some((place, text)) = self.text(setting) else {
            return fallback;
        };
        text.parse().unwrap_or_else(|e| {
            self.report(place, format!("\"{text}\": {e}"));
            fallback
        })
    }

    /// Reads a setting that is a list separated by commas; an empty text is an empty list.
    pub fn list<T: FromStr>(&mut self, setting: &Setting) -> Vec<T>
    where
        T::Err: fmt::Display,
    {
        let Some((place, text)) = self.text(setting) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(e) => self.report(place.clone(), format!("\"{item}\": {e}")),
            }
        }
        values
    }

    /// Notes that a setting is wrong in a way only the program knows.
    pub fn report(&mut self, setting: impl Into<String>, reason: impl Into<String>) {
        self.problems.push(Problem { setting: setting.into(), reason: reason.into() });
    }

    /// Ends reading.
    ///
    /// # Errors
    ///
    /// Returns every wrong setting and every argument that no setting has taken.
    pub fn finish(mut self) -> Result<(), Problems> {
        for arg in self.args.finish() {
            let setting = arg.to_string_lossy().into_owned();
            self.problems.push(Problem { setting, reason: "unknown argument".to_owned() });
        }
        if self.problems.is_empty() { Ok(()) } else { Err(Problems(self.problems)) }
    }

    fn text(&mut self, setting: &Setting) -> Option<(String, String)> {
        match self.args.opt_value_from_str::<_, String>(setting.flag) {
            Ok(Some(text)) => return Some((setting.flag.to_owned(), text)),
            Ok(None) => {}
            Err(e) => {
                self.report(setting.flag, e.to_string());
                return None;
            }
        }
        if let Some(text) = (self.env)(setting.env) {
            return Some((setting.env.to_owned(), text));
        }
        if setting.default.is_none() {
            self.report(format!("{} or {}", setting.flag, setting.env), "required");
        }
        setting.default.map(|text| (setting.flag.to_owned(), text.to_owned()))
    }
}

/// The help text of a program's settings.
pub fn help(about: &str, settings: &[Setting]) -> String {
    let mut text = format!("{about}\n\nSettings (a flag goes before its variable):\n");
    for setting in settings {
        let default = setting.default.map_or("required".to_owned(), |text| {
            if text.is_empty() { "default: none".to_owned() } else { format!("default: {text}") }
        });
        let line =
            format!("  {:<22} {:<26} {} [{default}]\n", setting.flag, setting.env, setting.help);
        text.push_str(&line);
    }
    text.push_str("  --help                                            print this text\n");
    text
}
