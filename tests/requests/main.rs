//! Fault tests of the request path, with real processes.

#[path = "../common/mod.rs"]
mod common;

mod checkpoint;
mod drain;
mod hostile;
mod issued;
mod once;
mod poison;
mod retry;
mod support;
