//! Configuration text, compiled snapshots and the fold of the publication stream.
