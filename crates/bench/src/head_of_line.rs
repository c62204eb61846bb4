//! Case `head_of_line`.

use crate::figure::Figure;

pub(crate) fn run(_seed: u64, _baseline: bool) -> Vec<Figure> {
    Vec::new()
}
