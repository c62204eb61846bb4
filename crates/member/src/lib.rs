//! Membership: SWIM-style failure detection and scoped dissemination.
