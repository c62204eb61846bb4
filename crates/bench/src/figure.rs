//! Results of the cases, with their bounds.

use std::fmt;

use serde::Serialize;

/// The bound of a figure. Bounds come from the stated objectives, never from a measured figure.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Bound {
    /// The value must not exceed this limit.
    AtMost(f64),
    /// The value must not fall below this limit.
    AtLeast(f64),
    /// The figure is printed for comparison only.
    None,
}

/// One result of a case. `--json` writes it as a line with these field names.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// Name, as `case.figure`.
    pub(crate) name: String,
    /// Value in `unit`; NaN if the measured event didn't happen.
    pub(crate) value: f64,
    /// Unit as printed, such as `ms`, `1/s` or `x` for a factor; may be empty for a share or count.
    pub(crate) unit: &'static str,
    /// Limit that the value is compared with.
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

    /// Returns whether the value breaks its bound. NaN breaks every bound.
    pub(crate) fn is_out_of_bounds(&self) -> bool {
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
        let verdict = match (self.bound, self.is_out_of_bounds()) {
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
