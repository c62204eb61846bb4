//! Choice of an instance for a request, retries, hedging and ejection.
