//! Faults of settings and where in the file they are.

use std::ops::Range;

use snafu::Snafu;
use toml::de::{DeTable, DeValue};
use wire::Code;

/// Why settings were refused.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{code} at line {line}: {}{reason}", prefix(key)))]
pub struct SettingsError {
    /// [`Code::SettingsUnreadable`] or [`Code::SettingsInvalid`].
    pub code: Code,
    /// Line of the key, from 1.
    pub line: usize,
    /// Dotted name of the key; empty if the text isn't TOML or the fault isn't of one key.
    pub key: String,
    /// What is wrong. It never has the value of a secret.
    pub reason: String,
}

fn prefix(key: &str) -> String {
    match key {
        "" => String::new(),
        key => format!("{key}: "),
    }
}

/// A value that breaks a rule, before its line is looked up.
#[derive(Debug)]
pub(super) struct Fault {
    pub(super) key: String,
    pub(super) reason: String,
}

pub(super) fn invalid<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Fault> {
    let (key, reason) = (key.into(), reason.into());
    Err(Fault { key, reason })
}

impl Fault {
    pub(super) fn locate(self, text: &str) -> SettingsError {
        let at = DeTable::parse(text).map_or(0, |t| start_of(t.get_ref(), &self.key));
        SettingsError {
            code: Code::SettingsInvalid,
            line: line_of(text, at),
            key: self.key,
            reason: self.reason,
        }
    }
}

/// Describes a text that is not TOML, has an unknown key, lacks one or has a value of the wrong
/// type.
pub(super) fn unreadable(text: &str, e: &toml::de::Error) -> SettingsError {
    let span = e.span().unwrap_or(0..0);
    let key = DeTable::parse(text).map_or(String::new(), |t| key_at(t.get_ref(), &span));
    let is_secret = key.ends_with("secret");
    SettingsError {
        code: Code::SettingsUnreadable,
        line: line_of(text, span.start),
        key,
        // The library's message quotes a value of the wrong type.
        reason: match is_secret {
            true => "must be a string".to_owned(),
            false => e.message().replace('\n', "; "),
        },
    }
}

fn line_of(text: &str, at: usize) -> usize {
    1 + text[..at].matches('\n').count()
}

/// Returns where the key starts, or its table if the key is left out.
fn start_of(table: &DeTable<'_>, key: &str) -> usize {
    let (head, rest) = match key.split_once('.') {
        Some((head, rest)) => (head, Some(rest)),
        None => (key, None),
    };
    let Some((name, value)) = table.iter().find(|(k, _)| k.get_ref() == head) else {
        return 0;
    };
    match (rest, value.get_ref()) {
        (Some(rest), DeValue::Table(inner)) => start_of(inner, rest).max(name.span().start),
        _ => name.span().start,
    }
}

/// Returns the dotted name of the innermost key whose name or value has all of `span`.
fn key_at(table: &DeTable<'_>, span: &Range<usize>) -> String {
    let is_within = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    for (name, value) in table {
        let own = name.get_ref();
        if let DeValue::Table(inner) = value.get_ref() {
            let below = key_at(inner, span);
            if !below.is_empty() {
                return format!("{own}.{below}");
            }
        }
        if !span.is_empty() && (is_within(name.span()) || is_within(value.span())) {
            return own.to_string();
        }
    }
    String::new()
}
