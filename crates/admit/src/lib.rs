//! Admission of requests at the node beside a target.
