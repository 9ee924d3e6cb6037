//! Shared utilities: hash maps, hashing, clocks, locks and identifiers.

use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasher, Hash},
    sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use foldhash::quality::FixedState;
use rustix::time::{ClockId, clock_gettime};

/// Hash map with a fast hasher.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast hasher.
pub type Set<K> = HashSet<K, foldhash::fast::RandomState>;

/// Monotonic time since an arbitrary start, including time in which the host is suspended.
pub type Instant = Duration;

/// Fixed seed, so that all routers compute the same hashes.
const HASH_SEED: u64 = 0x5eed_c4a7;

/// Current monotonic time. Time in which the host is suspended counts, so that a suspended lease holder notices that
/// its lease has expired.
pub fn now() -> Instant {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Exponential decay factor after `age`, with the given half-life.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Wall clock time in milliseconds since the Unix epoch (1970).
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Hash that is equal in all processes of the same build.
pub fn hash(value: impl Hash) -> u64 {
    FixedState::with_seed(HASH_SEED).hash_one(value)
}

/// Random identifier as 16 hexadecimal digits.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Locks a mutex, ignoring poisoning: a panic in one thread must not fail the others.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// Locks for reading, ignoring poisoning as [`lock`] does.
pub(crate) fn read<T>(m: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    m.read().unwrap_or_else(|e| e.into_inner())
}
