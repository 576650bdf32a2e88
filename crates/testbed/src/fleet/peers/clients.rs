//! Simulated clients: choice of hosts, requests, responses and retries.
use super::{ConnectionRole, Event, HTTP_LIMITS, SimulatedPeers, Timer};
use mallowseam_audit::SLACK;
use mallowseam_audit::trace::Micros;
use mallowseam_http1::{ResponseHead, ResponseReader};
use mallowseam_load::client_load::Operation;
use std::cmp::Reverse;

/// Maximum number of idle connections that clients keep to one host.
const MAX_IDLE_PER_HOST: usize = 32;

impl SimulatedPeers {
    /// Lets clients send requests, or stops them from sending any.
    pub fn set_clients_active(&mut self, active: bool) {
        self.clients_active = active;
        let now = self.now();
        self.client_load.resume(now);
    }

    /// Returns the number of requests without a response.
    pub(crate) fn in_flight(&self) -> usize {
        self.request_hosts.len()
    }

    /// Sends a request on an idle connection, or on a new one if there is none.
    pub(super) fn send_request(&mut self, operation: Operation) {
        let Some(host) = self.choose_host(&operation, Self::accepts_requests) else {
            return self.on_no_host(&operation);
        };
        let idle = self.idle_connections.get_mut(&host).and_then(Vec::pop);
        match idle {
            Some(index) => self.send_on(index, host, operation),
            None => self.send_on_new_connection(host, operation),
        }
    }

    fn send_on_new_connection(&mut self, host: u32, operation: Operation) {
        let role = ConnectionRole::Client {
            reader: ResponseReader::default(),
            request: None,
            is_reused: false,
        };
        match self.connect(host, role) {
            Some(index) => self.send_on(index, host, operation),
            None => self.on_no_host(&operation),
        }
    }

    fn on_no_host(&mut self, operation: &Operation) {
        self.record(Event::NoHostAvailable { op: operation.id });
        self.schedule_retry(operation, None);
    }

    fn send_on(&mut self, index: u32, host: u32, operation: Operation) {
        if let Some(connection) = self.connections.get_mut(index)
            && let ConnectionRole::Client { request, .. } = &mut connection.role
        {
            *request = Some(operation);
        }
        let Operation {
            id,
            volume,
            extent,
            write,
            units,
            timeout,
            ..
        } = operation;
        self.record(Event::RequestSent {
            op: id,
            host,
            volume,
            extent,
            write,
            units,
            timeout,
        });
        self.request_hosts.insert(id, host);
        if self.is_impaired(host) {
            self.record(Event::Excused { op: id });
        }
        // Clients run on the same machine as the hosts, and may read a response late.
        self.set_timeout(index, timeout + SLACK);
        let text = self.request_text(&operation);
        self.send(index, text.as_bytes());
    }

    /// Chooses a suitable host of an operation's volume, or returns `None` if none is suitable.
    fn choose_host(
        &mut self,
        operation: &Operation,
        is_suitable: impl Fn(&Self, u32) -> bool,
    ) -> Option<u32> {
        let suitable: Vec<bool> = (0..self.scenario.hosts)
            .map(|host| is_suitable(self, host))
            .collect();
        self.client_load
            .choose_host(operation, |host| suitable[host as usize], &mut self.rng)
    }

    /// Handles the end of a connection with a request in flight. A request that was sent while the host closed an idle
    /// connection, and that the host left unread (`is_unread`), is sent once more on a new connection.
    pub(super) fn on_connection_lost(&mut self, operation: Operation, is_unread: bool) {
        self.request_hosts.remove(&operation.id);
        if !is_unread {
            self.record(Event::ConnectionLost { op: operation.id });
            return self.schedule_retry(&operation, None);
        }
        self.record(Event::RequestUnread { op: operation.id });
        match self.choose_host(&operation, Self::accepts_connections) {
            Some(host) => self.send_on_new_connection(host, operation),
            None => self.on_no_host(&operation),
        }
    }

    fn request_text(&self, operation: &Operation) -> String {
        let (method, class) = if operation.write {
            ("PUT", "book")
        } else {
            ("GET", "look")
        };
        let plan = if self.client_load.volume(operation.volume).limited {
            "basic"
        } else {
            "priority"
        };
        let body = if operation.write {
            "Content-Length: 6\r\n\r\nposted"
        } else {
            "\r\n"
        };
        format!(
            "{method} /{class}/{:016x}/{:016x} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {:016x}\r\n\
             X-Priority-Class: {class}\r\nX-Qos-Policy: {plan}\r\nX-Timeout-Ms: {}\r\n\
             X-Placement: units={},shard={},hosts={}\r\n{body}",
            operation.volume,
            operation.extent,
            operation.id,
            operation.timeout / 1_000,
            operation.units,
            operation.shard,
            operation.hosts
        )
    }

    /// Schedules a retry of an operation, if the client model allows one and clients are active.
    pub(super) fn schedule_retry(&mut self, operation: &Operation, retry_after: Option<Micros>) {
        let now = self.now();
        let retry = self
            .client_load
            .retry(now, operation, retry_after, &mut self.rng);
        if let Some((at, operation)) = retry.filter(|_| self.clients_active) {
            let index = self.pending_retries.insert(operation);
            self.timers.push(Reverse((at, Timer::Retry(index))));
        }
    }

    /// Handles a complete response of a host. `body` is the offset of the response's body.
    pub(super) fn on_response(&mut self, index: u32, response: &[u8], body: usize) {
        let Ok(Some(head)) = ResponseHead::parse(response, HTTP_LIMITS) else {
            return self.close(index, true);
        };
        let retry_after = retry_after(&head);
        let status = head.status;
        let closes = head.close;
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let host = connection.host;
        connection.timeout_id = None;
        let ConnectionRole::Client {
            request, is_reused, ..
        } = &mut connection.role
        else {
            return self.on_readiness_response(index, host, status);
        };
        *is_reused = true;
        let Some(operation) = request.take() else {
            return self.close(index, true);
        };
        let authentic =
            status == 200 && response[body..] == *format!("{:016x}", operation.id).as_bytes();
        self.request_hosts.remove(&operation.id);
        self.record(Event::ResponseReceived {
            op: operation.id,
            status,
            authentic,
        });
        let idle = self.idle_connections.entry(host).or_default();
        if closes || idle.len() >= MAX_IDLE_PER_HOST {
            self.close(index, false);
        } else {
            idle.push(index);
        }
        if status != 200 {
            self.schedule_retry(&operation, retry_after);
        }
    }

    /// Closes a connection whose timeout has expired. Does nothing if a later timeout has replaced this one.
    pub(super) fn on_timeout(&mut self, index: u32, timeout_id: u64) {
        let Some(connection) = self
            .connections
            .get_mut(index)
            .filter(|c| c.timeout_id == Some(timeout_id))
        else {
            return;
        };
        if let ConnectionRole::Client { request, .. } = &mut connection.role
            && let Some(operation) = request.take()
        {
            self.request_hosts.remove(&operation.id);
            self.record(Event::ClientTimedOut { op: operation.id });
        }
        self.close(index, false);
    }
}

/// Returns the delay of the `Retry-After` header of a response, in microseconds.
fn retry_after(head: &ResponseHead) -> Option<Micros> {
    let seconds: f64 = head.headers.single("Retry-After").ok()??.parse().ok()?;
    Some((seconds * 1e6) as Micros)
}
