//! An answer that is passed on to other hosts while it is being received.

use std::sync::{Arc, Mutex};

use anyhow::{Context, Result};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch};

use crate::{
    relay::distribution::{MIN_PASSED_ON_BYTES, answer_key},
    schema::fleet::Fetch,
    util::lock,
};

/// Maximum number of bytes that are copied at once to pass them on.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// The answer that a host is receiving, as the tasks see it that pass it on.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    request: Fetch,
    length: usize,
    bytes: Arc<Mutex<Vec<u8>>>,
    received: watch::Receiver<usize>,
}

impl Incoming {
    /// Length of the message, in bytes.
    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// Passes on the message as its bytes arrive.
    ///
    /// # Errors
    /// If the connection fails, or this host does not receive the message to its end.
    pub(super) async fn pass_on(mut self, stream: &mut TcpStream) -> Result<()> {
        stream.write_u32_le(self.length as u32).await.context("could not pass on the message length")?;
        let mut sent = 0;
        while sent < self.length {
            let received =
                *self.received.wait_for(|n| *n > sent).await.context("the message stopped arriving here")?;
            let end = received.min(sent + MAX_CHUNK_BYTES);
            let chunk = lock(&self.bytes)[sent..end].to_vec();
            stream.write_all(&chunk).await.context("could not pass on the message")?;
            sent = end;
        }
        Ok(())
    }
}

/// The answer that this host is receiving, if it is large enough to be passed on.
#[derive(Debug, Default)]
pub(crate) struct IncomingAnswer(Mutex<Option<Incoming>>);

impl IncomingAnswer {
    /// The answer, if it is the one to `request`, too.
    pub(super) fn to(&self, request: &Fetch) -> Option<Incoming> {
        lock(&self.0).clone().filter(|incoming| incoming.request == answer_key(request))
    }

    /// Begins to receive an answer of `length` bytes. It is passed on until [`IncomingAnswer::clear`] is called.
    pub(super) fn begin(&self, request: &Fetch, length: usize) -> Receiving {
        let (tx, received) = watch::channel(0);
        let bytes = Arc::<Mutex<Vec<u8>>>::default();
        if length >= MIN_PASSED_ON_BYTES {
            let request = answer_key(request);
            *lock(&self.0) = Some(Incoming { request, length, bytes: bytes.clone(), received });
        }
        Receiving { length, bytes, received: tx }
    }

    /// Forgets the answer, once it is applied or has failed to arrive.
    pub(super) fn clear(&self) {
        *lock(&self.0) = None;
    }
}

/// An answer that is being received. If it is dropped before it is complete, the connections end on which it is passed on.
#[derive(Debug)]
pub(super) struct Receiving {
    length: usize,
    bytes: Arc<Mutex<Vec<u8>>>,
    received: watch::Sender<usize>,
}

impl Receiving {
    /// Hands over bytes that have arrived.
    pub(super) fn push(&self, chunk: &[u8]) {
        if self.length < MIN_PASSED_ON_BYTES {
            return;
        }
        let mut bytes = lock(&self.bytes);
        bytes.extend_from_slice(chunk);
        self.received.send_replace(bytes.len());
    }
}
