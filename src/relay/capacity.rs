//! What a host may hold for its callers, derived from the memory and the descriptors of its machine.
//!
//! The parts fit the memory together with the buffers of answers; docs/CAPACITY.md has their sum.

use std::ops::RangeInclusive;

use anyhow::{Result, ensure};

/// Part of a host's memory that bodies of requests may take.
const BODY_FRACTION: usize = 5;
/// Memory for bodies of a host whose memory is unknown, in bytes.
const DEFAULT_BODY_BYTES: usize = 64 << 20;

/// Part of a host's memory that is divided among the receive buffers of its connections.
const RECEIVE_FRACTION: usize = 128;
/// Memory for receive buffers of a host whose memory is unknown, in bytes.
const DEFAULT_RECEIVE_BYTES: usize = 2 << 20;
/// Smallest receive buffer of a connection, and that of a connection that is not accepted yet, in bytes.
pub const MIN_RECEIVE_BUFFER_BYTES: usize = 24 << 10;
/// Smallest and largest receive buffer of a connection, in bytes. The kernel holds up to twice as much. Less than the smallest size
/// stops senders whose segments are as long as those of the loopback interface.
const RECEIVE_BUFFER_BYTES: RangeInclusive<usize> = MIN_RECEIVE_BUFFER_BYTES..=128 << 10;

/// Fifths of a host's memory that connections may take, beside bodies and answers.
const CONNECTION_FIFTHS: usize = 2;
/// Memory of one connection, in bytes: its task, the buffer for a head, and the full receive buffers of its socket and of that to
/// the server of its request.
const CONNECTION_BYTES: usize = 112 << 10;
/// Memory for connections of a host whose memory is unknown, in bytes.
const DEFAULT_CONNECTION_BYTES: usize = 128 << 20;
/// Descriptors of a host that does not know them.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Sixteenths of the other descriptors: connections of callers, those to the ports for addresses, readiness and metrics, and
/// those of other hosts. The rest is for servers, other hosts and the store: a request may hold a connection to a server while its
/// last one is being closed.
const CALLER_SIXTEENTHS: usize = 4;
const AUXILIARY_SIXTEENTHS: usize = 1;
const PEER_SIXTEENTHS: usize = 2;
/// Smallest number of connections of a kind.
const MIN_CONNECTIONS: usize = 16;

/// Limits of what a host holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of the bodies of all requests.
    pub body_bytes: usize,
    /// Bytes that receive buffers divide among them.
    pub receive_bytes: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections to the ports for addresses, readiness and metrics together.
    pub auxiliary_connections: usize,
    /// Connections of other hosts.
    pub peer_connections: usize,
}

impl Capacity {
    /// The capacity of a machine with this memory in MiB and this many descriptors for a process, 0 if they are unknown.
    pub fn of(memory_mb: f64, descriptors: usize) -> Self {
        let memory = (memory_mb >= 1.0).then(|| (memory_mb as usize).saturating_mul(1 << 20));
        let part = |fraction, default| memory.map_or(default, |bytes| bytes / fraction);
        let descriptors = if descriptors == 0 { DEFAULT_DESCRIPTORS } else { descriptors };
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = |sixteenths: usize| (sockets * sixteenths / 16).max(MIN_CONNECTIONS);
        let connection_bytes = memory.map_or(DEFAULT_CONNECTION_BYTES, |bytes| bytes / 5 * CONNECTION_FIFTHS);
        let that_fit = connection_bytes / CONNECTION_BYTES;
        Self {
            body_bytes: part(BODY_FRACTION, DEFAULT_BODY_BYTES),
            receive_bytes: part(RECEIVE_FRACTION, DEFAULT_RECEIVE_BYTES),
            caller_connections: connections(CALLER_SIXTEENTHS).min(that_fit).max(MIN_CONNECTIONS),
            auxiliary_connections: connections(AUXILIARY_SIXTEENTHS),
            peer_connections: connections(PEER_SIXTEENTHS),
        }
    }

    /// Sets the memory for bodies in MiB, if it is given.
    ///
    /// # Errors
    /// If it is less than 1.
    pub fn with_bodies_mb(self, mb: Option<f64>) -> Result<Self> {
        let Some(mb) = mb else { return Ok(self) };
        ensure!(mb >= 1.0, "{mb} is less than 1");
        Ok(Self { body_bytes: (mb * f64::from(1 << 20)) as usize, ..self })
    }

    /// Sets the connections of callers, if they are given.
    ///
    /// # Errors
    /// If it is 0.
    pub fn with_caller_connections(self, connections: Option<usize>) -> Result<Self> {
        ensure!(connections != Some(0), "0 is less than 1");
        Ok(Self { caller_connections: connections.unwrap_or(self.caller_connections), ..self })
    }

    /// Size of the receive buffer of a connection that is opened beside this many others, in bytes. So a few connections get
    /// large buffers, and the sum of many grows with the logarithm of their number down to the smallest size.
    pub fn receive_buffer(&self, open: usize) -> usize {
        let (min, max) = RECEIVE_BUFFER_BYTES.into_inner();
        (self.receive_bytes / (open + 1)).clamp(min, max)
    }
}
