//! Aliases of hash maps with a fast hasher that does not resist collision attacks.
//!
//! No result may depend on the iteration order of these maps.

/// A hash map whose keys callers cannot choose.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set whose keys callers cannot choose.
pub type Set<K> = rustc_hash::FxHashSet<K>;
