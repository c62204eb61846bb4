//! Spread of accepted configuration from log readers to every node.
