//! Sockets, files and timers round the core.
