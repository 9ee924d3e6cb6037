//! Frames in which a host passes on the bytes of a backend server to another host.
//!
//! The kernel closes the connections of a process that ends as it closes those of a server that has sent its whole answer.
//! An empty frame says that the server has ended its side; a connection without one was ended by something else.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Size of the header of a frame: the number of bytes that follow, little-endian.
const HEADER_BYTES: usize = size_of::<u16>();
/// Maximum number of bytes of a server in a frame.
const MAX_FRAME_BYTES: usize = 8 << 10;

/// The connection ended though the server had not ended its side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedByHost;

impl EndedByHost {
    /// Whether an error is this one.
    pub(crate) fn is(e: &io::Error) -> bool {
        e.get_ref().is_some_and(|inner| inner.is::<Self>())
    }
}

impl fmt::Display for EndedByHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the other host ended the connection before the server did")
    }
}

impl std::error::Error for EndedByHost {}

/// Reads the bytes of a server from a connection to another host.
#[derive(Debug)]
pub struct Frames {
    header: [u8; HEADER_BYTES],
    header_read: usize,
    /// Number of bytes of the current frame that have not been read.
    left: u64,
    has_ended: bool,
}

impl Frames {
    /// Reads frames.
    pub fn framed() -> Self {
        Self { header: [0; HEADER_BYTES], header_read: 0, left: 0, has_ended: false }
    }

    /// Reads bytes without frames, as a host of an earlier version sends them. Nothing says that the server has ended its side.
    pub fn unframed() -> Self {
        Self { left: u64::MAX, ..Self::framed() }
    }

    /// Reads bytes of the server, none once it has ended its side.
    ///
    /// # Errors
    /// [`EndedByHost`], as a reset, or the error of the connection.
    pub fn poll_read(
        &mut self,
        io: &mut (impl AsyncRead + Unpin),
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while !self.has_ended && self.left == 0 {
            let mut header = ReadBuf::new(&mut self.header[self.header_read..]);
            ready!(Pin::new(&mut *io).poll_read(cx, &mut header))?;
            match header.filled().len() {
                0 => return Poll::Ready(Err(ended_by_host())),
                read => self.header_read += read,
            }
            if self.header_read == HEADER_BYTES {
                (self.left, self.header_read) = (u16::from_le_bytes(self.header).into(), 0);
                self.has_ended = self.left == 0;
            }
        }
        if self.has_ended || buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut io.take(self.left)).poll_read(cx, buf))?;
        match buf.filled().len() - filled {
            0 => Poll::Ready(Err(ended_by_host())),
            read => {
                self.left -= read as u64;
                Poll::Ready(Ok(()))
            }
        }
    }
}

fn ended_by_host() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, EndedByHost)
}

/// Copies the bytes of a server in frames until it ends its side.
///
/// # Errors
/// The error of either connection.
pub async fn copy(from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
    let mut buf = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
    loop {
        let read = from.read(&mut buf[HEADER_BYTES..]).await?;
        buf[..HEADER_BYTES].copy_from_slice(&(read as u16).to_le_bytes());
        to.write_all(&buf[..HEADER_BYTES + read]).await?;
        if read == 0 {
            return to.flush().await;
        }
    }
}
