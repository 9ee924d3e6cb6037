//! Network between hosts: forwards their datagrams and connections, and can cut some hosts off from the others.

use std::{
    net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
    sync::Arc,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinSet,
};

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Addresses of a host on the network.
#[derive(Clone, Copy, Debug)]
pub struct Attached {
    /// Address that the host announces, at which others reach it through the network.
    pub announced: SocketAddr,
    /// Address on which its process listens, and from which it sends datagrams.
    pub local: SocketAddr,
}

/// The network; dropping it ends all connections.
pub struct Network {
    /// Hosts on one side of the cut.
    cut_off: watch::Sender<Vec<usize>>,
    _tasks: JoinSet<()>,
}

impl Network {
    /// Listens on the addresses that hosts announce.
    pub fn start(hosts: Vec<Attached>) -> Self {
        let cut_off = watch::Sender::new(Vec::new());
        let (mut tasks, hosts): (_, Arc<[Attached]>) = (JoinSet::new(), hosts.into());
        let sockets: Arc<[UdpSocket]> = hosts.iter().map(|host| datagram_socket(host.announced)).collect();
        for (n, host) in hosts.iter().enumerate() {
            let listener = StdTcpListener::bind(host.announced).unwrap();
            listener.set_nonblocking(true).unwrap();
            let listener = TcpListener::from_std(listener).unwrap();
            tasks.spawn(forward_datagrams(n, hosts.clone(), sockets.clone(), cut_off.subscribe()));
            tasks.spawn(forward_connections(n, hosts.clone(), listener, cut_off.subscribe()));
        }
        Self { cut_off, _tasks: tasks }
    }

    /// Cuts these hosts off from all others, in both directions; none ends the cut.
    pub fn cut_off(&self, hosts: &[usize]) {
        self.cut_off.send_replace(hosts.to_vec());
    }
}

fn datagram_socket(at: SocketAddr) -> UdpSocket {
    let socket = StdUdpSocket::bind(at).unwrap();
    socket.set_nonblocking(true).unwrap();
    UdpSocket::from_std(socket).unwrap()
}

/// Whether a host reaches another one. Connections of hosts that do not say who they are pass only while there is no cut.
fn reaches(cut_off: &[usize], from: Option<usize>, to: usize) -> bool {
    from.map_or(cut_off.is_empty(), |from| cut_off.contains(&from) == cut_off.contains(&to))
}

/// Passes datagrams on to a host, from the address that their sender announces.
async fn forward_datagrams(
    to: usize,
    hosts: Arc<[Attached]>,
    sockets: Arc<[UdpSocket]>,
    cut_off: watch::Receiver<Vec<usize>>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An earlier datagram was sent to a process that has ended.
        let Ok((n, sender)) = sockets[to].recv_from(&mut buf).await else { continue };
        let from = hosts.iter().position(|host| host.local == sender);
        if from.is_some() && reaches(&cut_off.borrow(), from, to) {
            let _ = sockets[from.unwrap_or(to)].send_to(&buf[..n], hosts[to].local).await;
        }
    }
}

async fn forward_connections(
    to: usize,
    hosts: Arc<[Attached]>,
    listener: TcpListener,
    cut_off: watch::Receiver<Vec<usize>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((conn, _)) = listener.accept().await {
        connections.spawn(forward_connection(to, hosts.clone(), conn, cut_off.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Passes a connection on to a host. A cut holds its bytes up, and what is open then is closed after it.
async fn forward_connection(
    to: usize,
    hosts: Arc<[Attached]>,
    mut conn: TcpStream,
    mut cut_off: watch::Receiver<Vec<usize>>,
) -> Option<()> {
    let request = read_first_message(&mut conn).await.ok()?;
    let from = hosts.iter().position(|host| names(&request, host.announced));
    cut_off.wait_for(|cut_off| reaches(cut_off, from, to)).await.ok()?;
    let mut target = TcpStream::connect(hosts[to].local).await.ok()?;
    target.write_all(&request).await.ok()?;
    tokio::select! {
        copied = copy_bidirectional(&mut conn, &mut target) => copied.ok().map(drop),
        _ = cut_off.wait_for(|cut_off| !reaches(cut_off, from, to)) => None,
    }?;
    Some(())
}

/// The first message of a connection with its length before it.
async fn read_first_message(conn: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let length = conn.read_u32_le().await?;
    let mut message = length.to_le_bytes().to_vec();
    conn.take(length.into()).read_to_end(&mut message).await?;
    Ok(message)
}

/// Whether a message contains the address of a host.
fn names(message: &[u8], addr: SocketAddr) -> bool {
    let addr = addr.to_string();
    message.windows(addr.len()).any(|part| part == addr.as_bytes())
}
