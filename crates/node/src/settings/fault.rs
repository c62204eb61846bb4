//! Errors of settings, located by line in the settings file.

use std::ops::Range;

use snafu::Snafu;
use toml::de::{DeTable, DeValue};
use wire::Code;

/// Error of a settings file.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{code} at line {line}: {}{reason}", prefix(key)))]
pub struct SettingsError {
    /// [`Code::SettingsUnreadable`] or [`Code::SettingsInvalid`].
    pub code: Code,
    /// Line of the key, or of its table if the key is absent; counted from 1.
    pub line: usize,
    /// Dotted name of the key; empty if the file isn't TOML or the error isn't about a single key.
    pub key: String,
    /// Description of the error. It never contains the value of a secret.
    pub reason: String,
}

fn prefix(key: &str) -> String {
    match key {
        "" => String::new(),
        key => format!("{key}: "),
    }
}

/// An invalid value, before its line is looked up.
#[derive(Debug)]
pub(super) struct InvalidSetting {
    pub(super) key: String,
    pub(super) reason: String,
}

pub(super) fn invalid<T>(
    key: impl Into<String>,
    reason: impl Into<String>,
) -> Result<T, InvalidSetting> {
    let (key, reason) = (key.into(), reason.into());
    Err(InvalidSetting { key, reason })
}

impl InvalidSetting {
    pub(super) fn locate(self, text: &str) -> SettingsError {
        let offset = DeTable::parse(text).map_or(0, |t| key_offset(t.get_ref(), &self.key));
        SettingsError {
            code: Code::SettingsInvalid,
            line: line_at(text, offset),
            key: self.key,
            reason: self.reason,
        }
    }
}

/// Returns the error for a file that isn't TOML, has an unknown key, lacks a key or has a value of the
/// wrong type.
pub(super) fn unreadable_settings(text: &str, e: &toml::de::Error) -> SettingsError {
    let span = e.span().unwrap_or(0..0);
    let key = DeTable::parse(text).map_or(String::new(), |t| key_at(t.get_ref(), &span));
    let is_secret = key.ends_with("secret");
    SettingsError {
        code: Code::SettingsUnreadable,
        line: line_at(text, span.start),
        key,
        // The message of `toml` quotes a value of the wrong type, which must not show a secret.
        reason: match is_secret {
            true => "must be a string".to_owned(),
            false => e.message().replace('\n', "; "),
        },
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    1 + text[..offset].matches('\n').count()
}

/// Returns the byte offset of the key, or of its table if the key is absent.
fn key_offset(table: &DeTable<'_>, key: &str) -> usize {
    let (head, rest) = match key.split_once('.') {
        Some((head, rest)) => (head, Some(rest)),
        None => (key, None),
    };
    let Some((name, value)) = table.iter().find(|(k, _)| k.get_ref() == head) else {
        return 0;
    };
    match (rest, value.get_ref()) {
        (Some(rest), DeValue::Table(inner)) => key_offset(inner, rest).max(name.span().start),
        _ => name.span().start,
    }
}

/// Returns the dotted name of the innermost key whose name or value contains `span`.
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
