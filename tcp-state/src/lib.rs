//! Reads what the kernel knows of the bytes that a TCP socket has sent.
//!
//! It is a separate package, because the calls need unsafe code, which the main package forbids.

use std::{
    io,
    mem::{size_of, zeroed},
    os::fd::{AsRawFd, BorrowedFd},
    time::Duration,
};

/// State of the sending side of a TCP connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendState {
    /// Packets that were sent and are not acknowledged; `tcpi_unacked` in tcp(7).
    pub unacked_packets: u32,
    /// Probes of a closed window or of an idle connection that were sent since the peer last acknowledged anything;
    /// `tcpi_probes`.
    pub unanswered_probes: u32,
    /// Bytes that were written to the socket and are not acknowledged, sent or not; `SIOCOUTQ`.
    pub unacked_bytes: u64,
    /// Time since data was last sent, retransmissions included, in whole milliseconds; `tcpi_last_data_sent`.
    pub since_data_sent: Duration,
    /// Time since an acknowledgement last arrived, in whole milliseconds; `tcpi_last_ack_recv`. Zero on platforms that do
    /// not report it.
    pub since_ack_received: Duration,
}

/// Reads the state of a connected TCP socket.
///
/// # Errors
/// If the descriptor is no TCP socket, or the platform does not report its state.
pub fn send_state(fd: BorrowedFd<'_>) -> io::Result<SendState> {
    let info = tcp_info(fd)?;
    let ms = |value: u32| Duration::from_millis(value.into());
    Ok(SendState {
        unacked_packets: info.tcpi_unacked,
        unanswered_probes: info.tcpi_probes.into(),
        unacked_bytes: unacked_bytes(fd)?,
        since_data_sent: ms(info.tcpi_last_data_sent),
        since_ack_received: ms(info.tcpi_last_ack_recv),
    })
}

/// Number of bytes that were written to a TCP socket and are not acknowledged.
///
/// # Errors
/// As [`send_state`].
pub fn unacked_bytes(fd: BorrowedFd<'_>) -> io::Result<u64> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and this request writes one `c_int` to a valid pointer.
    let result = unsafe { libc::ioctl(fd.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(bytes.try_into().unwrap_or(0))
}

fn tcp_info(fd: BorrowedFd<'_>) -> io::Result<libc::tcp_info> {
    // SAFETY: all fields are integers, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed, and at most `length` bytes are written to `info`.
    let result = unsafe {
        libc::getsockopt(
            fd.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(info)
}
