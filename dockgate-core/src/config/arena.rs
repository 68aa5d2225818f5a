//! An arena of specs: small keys that are never used twice, with an index by name.

use crate::ids::SpecKey;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap};

/// Holds the specs of one type; a name keeps its key for as long as it exists.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecArena<K, T> {
    next: u32,
    specs: BTreeMap<K, T>,
    names: HashMap<String, K>,
}

/// A spec that has a name of its own among its type.
pub trait NamedSpec {
    /// Returns the name.
    fn name(&self) -> &str;
}

impl<K, T> Default for SpecArena<K, T> {
    fn default() -> Self {
        Self {
            next: 1,
            specs: BTreeMap::new(),
            names: HashMap::new(),
        }
    }
}

impl<K: SpecKey, T: NamedSpec> SpecArena<K, T> {
    /// Returns how many specs there are.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Returns a spec.
    pub fn get(&self, key: K) -> Option<&T> {
        self.specs.get(&key)
    }

    /// Returns the key of a name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Returns a spec by its name.
    pub fn get_by_name(&self, name: &str) -> Option<&T> {
        self.get(self.find(name)?)
    }

    /// Returns every spec, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.specs.iter().map(|(key, spec)| (*key, spec))
    }

    /// Adds a spec, or replaces the one of the same name.
    pub fn put(&mut self, spec: T) {
        let key = self.find(spec.name()).unwrap_or_else(|| {
            self.next += 1;
            K::from(self.next - 1)
        });
        self.names.insert(spec.name().to_owned(), key);
        self.specs.insert(key, spec);
    }

    /// Removes a spec; returns whether it was there.
    pub fn remove(&mut self, name: &str) -> bool {
        let key = self.names.remove(name);
        key.and_then(|key| self.specs.remove(&key)).is_some()
    }
}

/// The form in which an arena is stored: the next key and the entries.
#[derive(Serialize, Deserialize)]
struct StoredArena<E> {
    next: u32,
    specs: Vec<(u32, E)>,
}

impl<K: SpecKey, T: Serialize> Serialize for SpecArena<K, T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let specs = self
            .specs
            .iter()
            .map(|(key, spec)| ((*key).into(), spec))
            .collect();
        StoredArena {
            next: self.next,
            specs,
        }
        .serialize(serializer)
    }
}

impl<'de, K: SpecKey, T: NamedSpec + Deserialize<'de>> Deserialize<'de> for SpecArena<K, T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let stored = StoredArena::<T>::deserialize(deserializer)?;
        let mut arena = Self {
            next: stored.next,
            ..Self::default()
        };
        for (key, spec) in stored.specs {
            arena.names.insert(spec.name().to_owned(), K::from(key));
            arena.specs.insert(K::from(key), spec);
        }
        Ok(arena)
    }
}
