//! An arena of specs with small keys that are never reused, and an index by name.

use crate::ids::SpecKey;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap};

/// Holds the specs of one type. A spec keeps its key when it is replaced.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecArena<K, T> {
    next: u32,
    specs: BTreeMap<K, T>,
    names: HashMap<String, K>,
}

/// A spec with a name that is unique within its type.
pub trait NamedSpec {
    /// Returns the name of the spec.
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
    /// Returns the number of specs.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Returns whether the arena holds no specs.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Returns a spec by its key.
    pub fn get(&self, key: K) -> Option<&T> {
        self.specs.get(&key)
    }

    /// Returns the key of the spec with this name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Returns a spec by its name.
    pub fn get_by_name(&self, name: &str) -> Option<&T> {
        self.get(self.find(name)?)
    }

    /// Returns an iterator over all specs, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.specs.iter().map(|(key, spec)| (*key, spec))
    }

    /// Adds a spec, or replaces the spec of the same name.
    pub fn put(&mut self, spec: T) {
        let key = self.find(spec.name()).unwrap_or_else(|| {
            self.next += 1;
            K::from(self.next - 1)
        });
        self.names.insert(spec.name().to_owned(), key);
        self.specs.insert(key, spec);
    }

    /// Removes a spec and returns whether it existed.
    pub fn remove(&mut self, name: &str) -> bool {
        let key = self.names.remove(name);
        key.and_then(|key| self.specs.remove(&key)).is_some()
    }
}

/// The serialized form of an arena: the next key and the entries.
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
