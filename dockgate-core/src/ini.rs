//! Reads INI files and reports every problem with its line.
//!
//! Declarations, daemon settings and load scenarios are read by [`IniDocument`]. The syntax is
//! that of the `rust-ini` library; this module adds line numbers and duplicate detection, and
//! collects all problems of a file into one error.

use quick_error::quick_error;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

/// One problem in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProblem {
    /// The name of the file, as given by the user.
    pub file: String,
    /// The line number, starting at one.
    pub line: usize,
    /// The problem and the allowed values.
    pub message: String,
}

quick_error! {
    /// All problems of a file, ordered by line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IniProblems {
        /// The file is invalid.
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

/// Reads one section: each known key is taken once, and any remaining key is reported as unknown.
#[derive(Debug, Clone)]
pub struct SectionReader {
    file: String,
    /// The type of the section: the first word of its header.
    pub kind: String,
    /// The name of the section: the rest of its header, may be empty.
    pub name: String,
    /// The line number of the header.
    pub line: usize,
    entries: BTreeMap<String, IniEntry>,
    allowed: Vec<String>,
    problems: Vec<IniProblem>,
}

impl SectionReader {
    /// Creates a placeholder for a missing section, so that its required keys are reported.
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

    /// Adds a problem in this section.
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

    /// Takes the text of a key, if it is set.
    pub fn take_text(&mut self, key: &str) -> Option<String> {
        self.take_entry(key).map(|entry| entry.value)
    }

    /// Takes a key and parses its value as `T`; `allowed` describes the valid values.
    pub fn take<T: FromStr>(&mut self, key: &str, allowed: &str) -> Option<T> {
        let entry = self.take_entry(key)?;
        let value = entry.value.parse().ok();
        if value.is_none() {
            let message = format!("{key} = {}: must be {allowed}", entry.value);
            self.report(entry.line, message);
        }
        value
    }

    /// Takes a key, parses its value as `T` and validates it by `accept`.
    ///
    /// Returns the default if the key is not set or its value is invalid.
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

    /// Takes a comma-separated list, which is empty if the key is not set.
    pub fn take_list(&mut self, key: &str) -> Vec<String> {
        self.take_text(key)
            .map(|text| split_list(&text))
            .unwrap_or_default()
    }

    /// Takes a required key, and reports it if it is not set.
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

    /// Takes all keys that start with `prefix`, and returns them without it, with their values.
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

    /// Returns the line of a key, or of the header if the key is not set.
    pub fn line_of(&self, key: &str) -> usize {
        self.entries.get(key).map_or(self.line, |entry| entry.line)
    }

    fn header(&self) -> String {
        match self.name.is_empty() {
            true => self.kind.clone(),
            false => format!("{} {}", self.kind, self.name),
        }
    }

    /// Reports every key that was not taken, and returns all problems.
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

/// Splits a comma-separated list, and drops surrounding blanks and empty items.
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
    /// Parses INI text; `file` is the file name used in errors.
    ///
    /// # Errors
    ///
    /// Returns a syntax error with its line.
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

    /// Reads one line of text that the library has already validated.
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
        let duplicate_of = self
            .sections
            .iter()
            .find(|section| section.kind == kind && section.name == name)
            .map(|section| section.line);
        if let Some(first) = duplicate_of {
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
            self.report(number, "key before the first [section]".to_owned());
            return;
        };
        let entry = IniEntry {
            line: number,
            value: value.trim().trim_matches('"').to_owned(),
        };
        let replaced = section.entries.insert(key.trim().to_owned(), entry);
        if let Some(replaced) = replaced {
            let message = format!("{} is already set at line {}", key.trim(), replaced.line);
            section.report(number, message);
        }
    }

    /// Adds a problem outside of any section.
    pub fn report(&mut self, line: usize, message: String) {
        self.problems.push(IniProblem {
            file: self.file.clone(),
            line,
            message,
        });
    }

    /// Takes all sections, in file order.
    pub fn take_sections(&mut self) -> Vec<SectionReader> {
        std::mem::take(&mut self.sections)
    }

    /// Finishes a section and collects its problems.
    pub fn close_section(&mut self, section: SectionReader) {
        self.problems.extend(section.finish());
    }

    /// Finishes the document.
    ///
    /// # Errors
    ///
    /// Returns all problems reported so far, ordered by line.
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
