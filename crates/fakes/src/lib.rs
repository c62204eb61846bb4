//! Stand-ins for the platform's log and for targets, used by tests and the demo.
