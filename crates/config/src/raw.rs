//! Deserialized TOML of a configuration text, before validation. The spans of the values give the
//! positions of faults.

use serde::Deserialize;
use toml::Spanned;

use crate::snapshot::{Class, Repeat, Scope};

/// The format number alone, readable from texts of any format.
#[derive(Debug, Deserialize)]
pub(crate) struct RawFormat {
    pub(crate) format: Spanned<i64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawText {
    pub(crate) format: Spanned<i64>,
    pub(crate) mesh: Spanned<String>,
    #[serde(default)]
    pub(crate) scope: Scope,
    pub(crate) claim_window_s: Option<Spanned<i64>>,
    #[serde(rename = "service")]
    pub(crate) services: Option<Vec<RawTextService>>,
    #[serde(rename = "route")]
    pub(crate) routes: Option<Vec<RawTextRoute>>,
}

/// A part of a configuration text without the top-level keys: only services and routes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBlock {
    #[serde(default, rename = "service")]
    pub(crate) services: Vec<RawTextService>,
    #[serde(default, rename = "route")]
    pub(crate) routes: Vec<RawTextRoute>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawTextService {
    pub(crate) name: Spanned<String>,
    #[serde(default)]
    pub(crate) depends: Vec<Spanned<String>>,
    pub(crate) slots: Spanned<i64>,
    pub(crate) connections: Spanned<i64>,
    pub(crate) queue: Option<Spanned<i64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawTextRoute {
    pub(crate) prefix: Spanned<String>,
    pub(crate) service: Spanned<String>,
    pub(crate) methods: Option<Spanned<Vec<Spanned<String>>>>,
    pub(crate) repeat: Option<Repeat>,
    #[serde(default)]
    pub(crate) class: Class,
    pub(crate) timeout_ms: Option<Spanned<i64>>,
    pub(crate) hedge: Option<Spanned<bool>>,
}
