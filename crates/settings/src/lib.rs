//! Typed settings of a program, from flags and environment variables.
//!
//! Each setting is declared once, and the help text is built from the declarations. All settings
//! are read before errors are reported, so that one run reports every invalid setting.

use std::ffi::OsString;
use std::fmt;
use std::str::FromStr;

/// Declaration of a setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag, such as `--listen`.
    pub flag: &'static str,
    /// The environment variable, such as `IBIS_LISTEN`; the flag overrides it.
    pub env: &'static str,
    /// Description for the help text, with the unit.
    pub help: &'static str,
    /// Value if neither is given; `None` if the setting is required.
    pub default: Option<&'static str>,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The flag or environment variable.
    pub setting: String,
    /// Why it is invalid.
    pub reason: String,
}

/// All invalid settings of a program.
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

/// Reads settings one by one and collects the invalid ones.
#[derive(Debug)]
pub struct Reader {
    args: pico_args::Arguments,
    env: fn(&str) -> Option<String>,
    problems: Vec<Problem>,
}

impl Reader {
    /// A reader of the current process's arguments and environment.
    pub fn from_process() -> Self {
        Self::new(std::env::args_os().skip(1).collect(), |name| std::env::var(name).ok())
    }

    /// A reader of the given arguments and environment.
    pub fn new(args: Vec<OsString>, env: fn(&str) -> Option<String>) -> Self {
        Self { args: pico_args::Arguments::from_vec(args), env, problems: Vec::new() }
    }

    /// Whether `-h` or `--help` is given.
    pub fn wants_help(&mut self) -> bool {
        self.args.contains(["-h", "--help"])
    }

    /// Whether a flag that takes no value is given.
    pub fn switch(&mut self, flag: &'static str) -> bool {
        self.args.contains(flag)
    }

    /// Takes the next positional argument.
    pub fn positional(&mut self) -> Option<String> {
        self.args.opt_free_from_str().ok().flatten()
    }

    /// Reads a setting. If it is invalid or missing, reports it and returns `fallback`.
    pub fn value<T: FromStr>(&mut self, setting: &Setting, fallback: T) -> T
    where
        T::Err: fmt::Display,
    {
        let Some((source, text)) = self.lookup(setting) else {
            return fallback;
        };
        text.parse().unwrap_or_else(|e| {
            self.report(source, format!("\"{text}\": {e}"));
            fallback
        })
    }

    /// Reads a comma-separated list; an empty string is an empty list.
    pub fn list<T: FromStr>(&mut self, setting: &Setting) -> Vec<T>
    where
        T::Err: fmt::Display,
    {
        let Some((source, text)) = self.lookup(setting) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in text.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(e) => self.report(source.clone(), format!("\"{item}\": {e}")),
            }
        }
        values
    }

    /// Records an invalid setting that only the program can detect, such as two settings that
    /// conflict.
    pub fn report(&mut self, setting: impl Into<String>, reason: impl Into<String>) {
        self.problems.push(Problem { setting: setting.into(), reason: reason.into() });
    }

    /// Finishes reading.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings and all arguments that were not read.
    pub fn finish(mut self) -> Result<(), Problems> {
        for arg in self.args.finish() {
            let setting = arg.to_string_lossy().into_owned();
            self.problems.push(Problem { setting, reason: "unknown argument".to_owned() });
        }
        if self.problems.is_empty() { Ok(()) } else { Err(Problems(self.problems)) }
    }

    /// The flag or environment variable that gives the setting, and its value.
    fn lookup(&mut self, setting: &Setting) -> Option<(String, String)> {
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

/// The help text of a program with the given settings.
pub fn help(about: &str, settings: &[Setting]) -> String {
    let mut text = format!("{about}\n\nSettings (a flag overrides its environment variable):\n");
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
