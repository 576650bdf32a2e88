//! Timers and allocations of the event loop.
use crate::support::client::{Client, read_text};
use crate::support::host_process::{HostProcess, allocations};
use crate::support::node::Behavior;
#[test]
fn a_timer_due_during_startup_does_not_stop_later_timers() {
    // With this seed the first timer is due at once, and the long list makes the startup last far longer than that.
    let host = HostProcess::with_config(1, |config, entry| {
        let rest: Vec<String> = (1..2_000)
            .map(|n| {
                let other = entry.replace("\"s-0\"", &format!("\"s-{n}\""));
                other.replace("\"block\":0", &format!("\"block\":{n}"))
            })
            .collect();
        let config = config.replace("8c1f30d27a5be964", "f27");
        config.replace(
            &format!("[{entry}]"),
            &format!("[{entry},{}]", rest.join(",")),
        )
    });
    (0..12).for_each(|_| host.nodes[0].behave_next(Behavior::StaySilent));
    let mut clients: Vec<Client> = (0..12).map(|_| host.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_text(&format!("r{n}"), 0, 900));
    }
    // Requests queued for a silent node are shed at their latency objective, and only a timer does so.
    for client in &mut clients {
        assert_eq!(client.answer(), Some((503, String::new())));
    }
    assert!(
        host.nodes[0].received().len() < 12,
        "some requests were queued"
    );
}

#[test]
fn the_normal_path_allocates_only_data_buffers() {
    let (few, many) = (allocations(200), allocations(1_200));
    // The runs differ by 1000 reads and 1000 writes; buffers and the scheduler's tables still grow a little meanwhile.
    let each = many.saturating_sub(few) as f64 / 2_000.0;
    assert!(each < 0.5, "{each} allocations per block I/O");
}
