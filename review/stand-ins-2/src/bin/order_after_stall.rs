//! A host stands still while two posts with one key come to it, the earlier one on a new connection. Rule: the posts of
//! a key run in the order in which the host took them.
use review_stand_ins_2::http::{BlockIo, Client, Discovery, Host, MessageReader, entry, settings};
use review_stand_ins_2::process::{SIGCONT, SIGSTOP, ip, wait_for};
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Length of a stall: the site's are 260 to 510 ms, every 2.2 to 3.6 s.
const STALL: Duration = Duration::from_millis(400);
const BETWEEN_STALLS: Duration = Duration::from_millis(3_000);
const ROUNDS: u64 = 8;

/// Requests that the brick has run, in order: id and body.
type Ran = Arc<Mutex<Vec<(String, String)>>>;

fn serve(listener: &TcpListener, ran: &Ran, record: &Arc<Record>) {
    for mut stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let (ran, record) = (Arc::clone(ran), Arc::clone(record));
        std::thread::spawn(move || {
            let mut reader = MessageReader::new();
            while let Some(message) = reader.next(&mut stream) {
                let id = message.id();
                record.line(&format!("brick   runs {id}: `{}`", message.text()));
                ran.lock()
                    .expect("not poisoned")
                    .push((id.clone(), message.text()));
                std::thread::sleep(Duration::from_millis(25));
                let text = format!("made for {id}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn post(client: &mut Client, record: &Record, id: &str, object: u64, body: &str) {
    let request = BlockIo {
        write: true,
        class: "post",
        plan: "standard",
        volume: 0x3b4_d600,
        object,
        id,
        timeout_ms: 2_000,
        shard: 0,
        body,
    };
    record.line(&format!("client  sends {id}: `{body}`"));
    client.send(&request.text());
}

fn main() {
    let record = Arc::new(Record::create());
    let ran: Ran = Arc::default();
    let listener = TcpListener::bind((ip(2), 0)).unwrap_or_else(|e| not_run(&e.to_string()));
    let known = entry("s-1", listener.local_addr().expect("bound"), 0, "ready");
    {
        let (ran, record) = (Arc::clone(&ran), Arc::clone(&record));
        std::thread::spawn(move || serve(&listener, &ran, &record));
    }
    let discovery = Discovery::start(3, &known);
    let class = r#""aim_us": 250000, "deadline_us": 2000000, "key_scope": "all", "key_ttl_us": 5000000, "repeat": "at_most_once", "keep_order": true"#;
    let host = Host::start(1, discovery.address, &known, &settings(class, 250_000));
    // A connection that was used before, as clients keep theirs.
    let mut kept =
        Client::connect(host.address).unwrap_or_else(|| not_run("the host does not listen"));
    post(&mut kept, &record, "00000000000000ff", 0xff, "before");
    if kept.answer().is_none_or(|answer| answer.status() != 200) {
        not_run("the host does not serve");
    }
    let (mut compared, mut broken) = (0, 0);
    for round in 1..=ROUNDS {
        let began = Instant::now();
        if trouble() {
            host.process.signal(SIGSTOP);
            record.line("host    stands still");
        }
        std::thread::sleep(Duration::from_millis(50));
        // The first post, by a client whose connections are all busy: on a new one.
        let mut new =
            Client::connect(host.address).unwrap_or_else(|| not_run("the host does not listen"));
        let (first, second) = (
            format!("{:016x}", 2 * round),
            format!("{:016x}", 2 * round + 1),
        );
        post(&mut new, &record, &first, round, "balance 1");
        std::thread::sleep(Duration::from_millis(150));
        // 150 ms later, the second post on the kept connection.
        post(&mut kept, &record, &second, round, "balance 2");
        if trouble() {
            std::thread::sleep(STALL.saturating_sub(began.elapsed()));
            host.process.signal(SIGCONT);
            record.line("host    goes on");
        }
        let answers =
            [new.answer(), kept.answer()].map(|answer| answer.map_or(0, |answer| answer.status()));
        record.line(&format!(
            "client  gets for {first}: {}, for {second}: {}",
            answers[0], answers[1]
        ));
        let ran = ran.lock().expect("not poisoned").clone();
        let place = |id: &str| ran.iter().position(|(ran, _)| ran == id);
        if let (Some(first_at), Some(second_at)) = (place(&first), place(&second)) {
            compared += 1;
            if second_at < first_at {
                broken += 1;
                let last = &ran[first_at.max(second_at)].1;
                record.say(&format!(
                    "BROKEN: {second} was taken 150 ms after {first} and ran before it; the piece of data holds `{last}`"
                ));
            }
        }
        drop(new);
        wait_for("the time between stalls", Duration::from_secs(10), || {
            began.elapsed() > BETWEEN_STALLS
        });
    }
    record.say(&format!(
        "{compared} of {ROUNDS} pairs ran, {broken} in the wrong order"
    ));
    drop(host);
    if compared == 0 {
        not_run("no pair ran");
    }
    std::process::exit(if broken > 0 { BROKEN } else { HELD });
}
