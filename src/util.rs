//! Small shared pieces: hash maps, hashing, clocks and identifiers.

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

/// Time since an arbitrary start, going on while the host is suspended.
pub type Instant = Duration;

const SEED: u64 = 0x5eed_c4a7;

/// Reads the clock that goes on while the host is suspended, so that a paused holder sees its lease lapse.
pub fn now() -> Instant {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Part of a weight that is left after `age`, where half of it is left after `half_life`.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Wall clock in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Hash that is the same in every process of one build.
pub fn hash(value: impl Hash) -> u64 {
    FixedState::with_seed(SEED).hash_one(value)
}

/// Random identifier as 16 hexadecimal digits.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Locks; a thread that panicked while it held the lock stops nobody else.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// Locks for reading, as [`lock`] does.
pub(crate) fn read<T>(m: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    m.read().unwrap_or_else(|e| e.into_inner())
}
