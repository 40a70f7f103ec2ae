//! When to cut over so that the exposure stays within its bound, whatever happens.
