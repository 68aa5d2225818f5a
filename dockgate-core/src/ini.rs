//! Reads INI text into checked sections, with the line of everything that is wrong.
//!
//! Declarations, daemon settings and bench scenarios all go through [`IniDocument`]. Syntax is the
//! `rust-ini` library's; this module adds line numbers, duplicate detection and the collection of
//! every problem before anything is reported.

use quick_error::quick_error;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

/// One thing wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProblem {
    /// The file, as the user named it.
    pub file: String,
    /// The line, counted from one.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

quick_error! {
    /// Everything wrong in a file, in the order of its lines.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IniProblems {
        /// The file cannot be used.
        Invalid(problems: Vec<IniProblem>) {
            display("{}", join_problems(problems))
        }
    }
}

fn join_problems(problems: &[IniProblem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}:{}: {}", problem.file, problem.line, problem.message))
        .collect();
    lines.join("\n")
}

#[derive(Debug, Clone)]
struct IniEntry {
    line: usize,
    value: String,
}

/// One section being read: each key is taken once, and what is left over is unknown.
#[derive(Debug, Clone)]
pub struct SectionReader {
    file: String,
    /// The section's type: the first word of its header.
    pub kind: String,
    /// The section's name: the rest of its header, or empty.
    pub name: String,
    /// The line of the header.
    pub line: usize,
    entries: BTreeMap<String, IniEntry>,
    allowed: Vec<String>,
    problems: Vec<IniProblem>,
}

impl SectionReader {
    /// Makes a section that a file does not have, so that required keys are reported.
    pub fn empty(file: &str, kind: &str) -> Self {
        Self::new(file, kind, "", 1)
    }

    fn new(file: &str, kind: &str, name: &str, line: usize) -> Self {
        Self {
            file: file.to_owned(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            line,
            entries: BTreeMap::new(),
            allowed: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// Adds a problem at a line of this section.
    pub fn report(&mut self, line: usize, message: impl Into<String>) {
        self.problems.push(IniProblem {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    fn take_entry(&mut self, key: &str) -> Option<IniEntry> {
        self.allowed.push(key.to_owned());
        self.entries.remove(key)
    }

    /// Takes a key's text, if it is set.
    pub fn take_text(&mut self, key: &str) -> Option<String> {
        self.take_entry(key).map(|entry| entry.value)
    }

    /// Takes a key that parses as `T`; `allowed` says in words what is accepted.
    pub fn take<T: FromStr>(&mut self, key: &str, allowed: &str) -> Option<T> {
        let entry = self.take_entry(key)?;
        let value = entry.value.parse().ok();
        if value.is_none() {
            let message = format!("{key} = {}: must be {allowed}", entry.value);
            self.report(entry.line, message);
        }
        value
    }

    /// Takes a key that parses as `T` and passes `accept`, else the default.
    pub fn take_checked<T: FromStr + Display>(
        &mut self,
        key: &str,
        default: T,
        allowed: &str,
        accept: impl Fn(&T) -> bool,
    ) -> T {
        let line = self.line_of(key);
        match self.take::<T>(key, allowed) {
            Some(value) if accept(&value) => value,
            Some(value) => {
                self.report(line, format!("{key} = {value}: must be {allowed}"));
                default
            }
            None => default,
        }
    }

    /// Takes a comma-separated list; an unset key is an empty list.
    pub fn take_list(&mut self, key: &str) -> Vec<String> {
        self.take_text(key)
            .map(|text| split_list(&text))
            .unwrap_or_default()
    }

    /// Takes a key that must be set.
    pub fn take_required<T: FromStr>(&mut self, key: &str, allowed: &str) -> Option<T> {
        if !self.entries.contains_key(key) {
            let message = format!("[{}] lacks {key}, which must be {allowed}", self.header());
            let line = self.line;
            self.allowed.push(key.to_owned());
            self.report(line, message);
            return None;
        }
        self.take(key, allowed)
    }

    /// Takes every key that starts with `prefix`, as pairs of the rest of the key and the value.
    pub fn take_prefixed<T: FromStr>(&mut self, prefix: &str, allowed: &str) -> Vec<(String, T)> {
        let keys: Vec<String> = self
            .entries
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect();
        keys.into_iter()
            .filter_map(|key| {
                let value = self.take(&key, allowed)?;
                Some((key[prefix.len()..].to_owned(), value))
            })
            .collect()
    }

    /// Returns the line of a key, or of the header where the key is not set.
    pub fn line_of(&self, key: &str) -> usize {
        self.entries.get(key).map_or(self.line, |entry| entry.line)
    }

    fn header(&self) -> String {
        match self.name.is_empty() {
            true => self.kind.clone(),
            false => format!("{} {}", self.kind, self.name),
        }
    }

    /// Reports every key that was not taken, and hands over the problems.
    #[must_use]
    pub fn finish(mut self) -> Vec<IniProblem> {
        let allowed = self.allowed.join(", ");
        for (key, entry) in std::mem::take(&mut self.entries) {
            let message = format!("unknown key {key}; allowed here: {allowed}");
            self.report(entry.line, message);
        }
        self.problems
    }
}

/// Splits a comma-separated list, without blanks and empty items.
fn split_list(text: &str) -> Vec<String> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(str::to_owned)
        .collect()
}

/// A parsed INI file.
#[derive(Debug)]
pub struct IniDocument {
    file: String,
    sections: Vec<SectionReader>,
    problems: Vec<IniProblem>,
}

impl IniDocument {
    /// Parses INI text; `file` is the name used in problems.
    ///
    /// # Errors
    ///
    /// Returns the syntax error with its line.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniProblems> {
        ini::Ini::load_from_str_noescape(text).map_err(|error| {
            IniProblems::Invalid(vec![IniProblem {
                file: file.to_owned(),
                line: error.line,
                message: error.msg.to_string(),
            }])
        })?;
        let mut document = Self {
            file: file.to_owned(),
            sections: Vec::new(),
            problems: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            document.read_line(index + 1, line.trim());
        }
        Ok(document)
    }

    /// Reads one line that the library has already accepted.
    fn read_line(&mut self, number: usize, line: &str) {
        match line.as_bytes().first() {
            None | Some(b'#' | b';') => {}
            Some(b'[') => self.open_section(number, line),
            Some(_) => self.read_pair(number, line),
        }
    }

    fn open_section(&mut self, number: usize, line: &str) {
        let header = line.trim_start_matches('[');
        let header = header.split(']').next().unwrap_or(header).trim();
        let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
        let name = name.trim();
        let twin = self
            .sections
            .iter()
            .find(|section| section.kind == kind && section.name == name)
            .map(|section| section.line);
        if let Some(first) = twin {
            self.report(number, format!("[{header}] is already at line {first}"));
        }
        let section = SectionReader::new(&self.file, kind, name, number);
        self.sections.push(section);
    }

    fn read_pair(&mut self, number: usize, line: &str) {
        let Some((key, value)) = line.split_once('=') else {
            return;
        };
        let Some(section) = self.sections.last_mut() else {
            self.report(number, "a key stands before the first [section]".to_owned());
            return;
        };
        let entry = IniEntry {
            line: number,
            value: value.trim().trim_matches('"').to_owned(),
        };
        let old = section.entries.insert(key.trim().to_owned(), entry);
        if let Some(old) = old {
            let message = format!("{} is already set at line {}", key.trim(), old.line);
            section.report(number, message);
        }
    }

    /// Adds a problem that belongs to no section.
    pub fn report(&mut self, line: usize, message: String) {
        self.problems.push(IniProblem {
            file: self.file.clone(),
            line,
            message,
        });
    }

    /// Takes every section, in the order of the file.
    pub fn take_sections(&mut self) -> Vec<SectionReader> {
        std::mem::take(&mut self.sections)
    }

    /// Adds the problems of a section that has been read.
    pub fn close_section(&mut self, section: SectionReader) {
        self.problems.extend(section.finish());
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns every problem reported so far, in the order of the lines.
    pub fn finish(mut self) -> Result<(), IniProblems> {
        self.problems.sort_by_key(|problem| problem.line);
        match self.problems.is_empty() {
            true => Ok(()),
            false => Err(IniProblems::Invalid(self.problems)),
        }
    }
}

#[cfg(test)]
mod tests;
