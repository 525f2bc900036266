//! The record of a run: what was sent, answered and run, and the breaks of the rule.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::sync::Mutex;

use crate::wire;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    breaks: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|_| crate::cannot_run("record"));
        Self { file: Mutex::new(BufWriter::new(file)), breaks: Mutex::default() }
    }

    pub fn line(&self, text: &str) {
        let _full = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", wire::clock());
    }

    pub fn note(&self, text: &str) {
        println!("{:9.3} {text}", wire::clock());
        self.line(text);
    }

    pub fn broken(&self, text: &str) {
        self.line(&format!("BROKEN {text}"));
        self.breaks.lock().unwrap().push(format!("{:.3} {text}", wire::clock()));
    }

    pub fn breaks(&self) -> Vec<String> {
        self.breaks.lock().unwrap().clone()
    }

    pub fn close(&self) {
        let _full = self.file.lock().unwrap().flush();
    }
}
