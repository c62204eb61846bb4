//! A measured figure with its bound.

use std::fmt;

use serde::Serialize;

/// The bound of a figure. Bounds come from the stated goals, never from a measured figure.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Bound {
    /// The figure must not exceed this value.
    AtMost(f64),
    /// The figure must not fall below this value.
    AtLeast(f64),
    /// The figure is printed for comparison only.
    None,
}

/// A measured figure.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// Name, as `case.figure`.
    pub(crate) name: String,
    /// Measured value.
    pub(crate) value: f64,
    /// Unit of the value.
    pub(crate) unit: &'static str,
    /// Bound of the value.
    pub(crate) bound: Bound,
}

impl Figure {
    pub(crate) fn new(name: impl Into<String>, value: f64, unit: &'static str, b: Bound) -> Self {
        Figure {
            name: name.into(),
            value,
            unit,
            bound: b,
        }
    }

    /// Returns whether the figure is beyond its bound. NaN is beyond every bound.
    pub(crate) fn fails(&self) -> bool {
        match self.bound {
            Bound::AtMost(b) => self.value.is_nan() || self.value > b,
            Bound::AtLeast(b) => self.value.is_nan() || self.value < b,
            Bound::None => false,
        }
    }

    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bound = match self.bound {
            Bound::AtMost(b) => format!("<= {b}"),
            Bound::AtLeast(b) => format!(">= {b}"),
            Bound::None => "-".to_owned(),
        };
        let verdict = match (self.bound, self.fails()) {
            (Bound::None, _) => "-",
            (_, true) => "FAIL",
            (_, false) => "ok",
        };
        let (name, value, unit) = (&self.name, self.value, self.unit);
        write!(
            f,
            "{name:<48} {value:>12.3} {unit:<8} {bound:>10} {verdict}"
        )
    }
}
