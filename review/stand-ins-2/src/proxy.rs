//! A proxy on loopback, whose connections can be broken.
use crate::record::not_run;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Forwards connections to another address.
pub struct Proxy {
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Proxy {
        let listener =
            TcpListener::bind(listen).unwrap_or_else(|e| not_run(&format!("proxy: {e}")));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let kept = Arc::clone(&open);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let _ = from.set_nodelay(true);
                    let mut from = from.try_clone().expect("a socket can be cloned");
                    let mut into = into.try_clone().expect("a socket can be cloned");
                    std::thread::spawn(move || {
                        let mut bytes = [0; 16_384];
                        while let Ok(n @ 1..) = from.read(&mut bytes) {
                            if into.write_all(&bytes[..n]).is_err() {
                                break;
                            }
                        }
                        let _ = into.shutdown(Shutdown::Both);
                    });
                }
                kept.lock().expect("not poisoned").extend([near, far]);
            }
        });
        Proxy { open }
    }

    /// Breaks all open connections. New ones are forwarded.
    pub fn break_connections(&self) {
        for stream in self.open.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
