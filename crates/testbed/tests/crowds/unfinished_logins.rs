//! Clients that connect and never finish their login.
use crate::site::{Site, TARGET, read};
use mallowseam_testbed::blocking_client::BlockingClient;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Number of unfinished logins, several times the number of connections that the host admits.
const UNFINISHED: usize = 300;
/// Bound on a login and a command beside them; a login may wait until others have had their time.
const PATIENCE: Duration = Duration::from_secs(4);

/// Guards against clients that are kept out by others that connect, send half of a login and stay: these held all
/// connections until their login timed out.
#[test]
fn unfinished_logins_do_not_keep_other_clients_out() {
    let site = Site::new(10.0);
    let mut unfinished = Vec::new();
    for n in 0..UNFINISHED {
        let mut socket = TcpStream::connect(site.address).expect("cannot connect");
        // Half a header of a login request, from every other client.
        if n % 2 == 0 {
            let _ = socket.write_all(&[0x43; 24]);
        }
        unfinished.push(socket);
    }
    for number in 0..3 {
        let began = Instant::now();
        let mut client = loop {
            match BlockingClient::open(site.address, Some(TARGET), number) {
                Ok(client) => break client,
                Err(error) => assert!(began.elapsed() < PATIENCE, "kept out: {error}"),
            }
        };
        assert_eq!(read(&mut client, 9_000, 8), [Some(0); 8]);
        assert!(began.elapsed() < PATIENCE, "{:?}", began.elapsed());
        // The unfinished logins that were closed come back.
        for socket in &mut unfinished {
            if socket.write_all(&[0]).is_err() {
                *socket = TcpStream::connect(site.address).expect("cannot connect");
            }
        }
    }
}
