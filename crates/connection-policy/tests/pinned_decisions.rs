//! Decisions of each module over long seeded streams of events, compared with recorded digests.
//!
//! Guards against unintended changes of decisions: a digest differs once a constant, a comparison or the order of
//! steps changes.
use mallowseam_connection_policy::admission::{
    AdmissionController, CloseReason, ConnectionState, LoginRejection, TimeoutAction,
};
use mallowseam_connection_policy::client_connection::{self, ClientConnection, Phase};
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};
use mallowseam_connection_policy::endpoint_list_request::EndpointListRequest;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_connection_policy::keep_alive::{self, KeepAlivePolicy, Reusability};
use mallowseam_connection_policy::node_connection::{self, NodeConnection};
use mallowseam_connection_policy::request_splitting::{ClassRule, Extent, VolumeLayout};
use mallowseam_connection_policy::resource_budget::ResourceBudget;
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_connection_policy::watch_slots::WatchSlots;
use mallowseam_test_support::{Digest, SeededRng, assert_pinned};
use std::num::NonZeroU64;

const EVENTS: usize = 4_000;

/// Returns a random step of the clock in milliseconds: mostly a short one, and at times one of `durations` or 1 ms
/// less, so that timeouts are tested from both sides.
fn step(rng: &mut SeededRng, durations: &[u64]) -> u64 {
    match rng.below(20) {
        0 => rng.pick(durations) - rng.below(2),
        1 => rng.below(500),
        _ => rng.below(3),
    }
}

#[test]
fn admission_decisions_match_the_recorded_digests() {
    assert_pinned(&ADMISSION, |rng, digest| {
        let durations = [1_000, 2_000, 5_000, 10_000, 30_000];
        let mut admission = AdmissionController::new("iqn.target", 6);
        let mut now = 0;
        for _ in 0..EVENTS {
            now += step(rng, &durations);
            admission_event(rng, digest, &mut admission, now);
            for index in 0..8 {
                let state = ConnectionState {
                    pdu_incomplete: rng.one_in(3),
                    unsent_bytes: rng.pick(&[0, 0, 1, 1 << 20]),
                    in_flight: rng.pick(&[0, 0, 1, 5]),
                };
                let action = admission.check_timeouts(index, now, state);
                digest.add(admission_code(action));
                if matches!(action, TimeoutAction::Close(_)) {
                    admission.connection_closed(index);
                }
            }
            digest.add(u64::from(admission.admits_commands(now)));
            digest.add(u64::from(admission.is_draining()));
            digest.add(admission.connection_count() as u64);
        }
        let unsent_sizes = [0, (1 << 20) - 1, 1 << 20, rng.below(1 << 21) as usize];
        for bytes in unsent_sizes {
            digest.add(u64::from(admission.may_read(bytes)));
        }
        digest.add(u64::from(admission.logout_seconds()));
    });
}

fn admission_event(
    rng: &mut SeededRng,
    digest: &mut Digest,
    admission: &mut AdmissionController,
    now: u64,
) {
    let index = rng.below(8) as usize;
    match rng.below(60) {
        0..=9 => digest.add(u64::from(admission.admit_connection(index, now))),
        10 => admission.connection_closed(index),
        11..=30 => {
            let name = rng.pick(&["iqn.a", "iqn.b", "iqn.c"]);
            let target = rng.pick(&[
                None,
                Some("iqn.target"),
                Some("iqn.target"),
                Some("iqn.other"),
            ]);
            let isid = [rng.below(2) as u8; 6];
            let handle = rng.pick(&[0, 0, 0, 7]);
            match admission.login(index, name, target, isid, handle) {
                Ok(session) => {
                    digest.add(u64::from(session.handle));
                    digest.add_option(session.replaces.map(|index| index as u64));
                }
                Err(rejection) => digest.add(match rejection {
                    LoginRejection::NoSuchTarget => 101,
                    LoginRejection::NoSuchSession => 102,
                    LoginRejection::Draining => 103,
                    LoginRejection::OutOfResources => 104,
                }),
            }
        }
        31..=40 => admission.bytes_received(index, now),
        41..=57 => admission.bytes_sent(index, now),
        58 if rng.one_in(4) => digest.add(u64::from(admission.start_draining(now))),
        _ => {
            if rng.one_in(3) {
                admission.stop_draining();
            }
        }
    }
}

fn admission_code(action: TimeoutAction) -> u64 {
    match action {
        TimeoutAction::Nothing => 0,
        TimeoutAction::Ping => 1,
        TimeoutAction::Close(reason) => match reason {
            CloseReason::LoginTimeout => 2,
            CloseReason::IncompletePdu => 3,
            CloseReason::WriteTimeout => 4,
            CloseReason::KeepAliveTimeout => 5,
            CloseReason::Drained => 6,
        },
    }
}

#[test]
fn pings_and_closes_of_silent_sessions_match_the_recorded_digests() {
    assert_pinned(&SILENT_SESSIONS, |rng, digest| {
        let mut admission = AdmissionController::new("iqn.target", 4);
        let mut now = 0;
        for _ in 0..EVENTS {
            now += step(rng, &[30_000, 15_000]);
            let index = rng.below(4) as usize;
            if admission.admit_connection(index, now) {
                let isid = [index as u8; 6];
                digest.add(u64::from(
                    admission
                        .login(index, "iqn.a", Some("iqn.target"), isid, 0)
                        .is_ok(),
                ));
            }
            for index in 0..4 {
                if rng.one_in(2_000) {
                    admission.bytes_received(index, now);
                }
                let action = admission.check_timeouts(index, now, ConnectionState::default());
                digest.add(admission_code(action));
                if matches!(action, TimeoutAction::Close(_)) {
                    admission.connection_closed(index);
                }
            }
        }
    });
}

#[test]
fn close_reasons_have_the_recorded_texts() {
    let reasons = [
        CloseReason::LoginTimeout,
        CloseReason::IncompletePdu,
        CloseReason::WriteTimeout,
        CloseReason::KeepAliveTimeout,
        CloseReason::Drained,
    ];
    let texts = [
        "login not finished in time",
        "stalled within a PDU",
        "does not read its answers",
        "no sign of life",
        "not logged out in time while the host is draining",
    ];
    assert_eq!(reasons.map(CloseReason::as_str), texts);
    let reasons = [
        node_connection::CloseReason::LoginTimeout,
        node_connection::CloseReason::AbortTimeout,
        node_connection::CloseReason::NodeRemoved,
    ];
    assert_eq!(
        reasons.map(node_connection::CloseReason::as_str),
        [
            "login not finished in time",
            "aborts unanswered",
            "node has left"
        ]
    );
}

#[test]
fn client_connection_decisions_match_the_recorded_digests() {
    assert_pinned(&CLIENT_CONNECTIONS, |rng, digest| {
        let durations = [5, 50, 100, 200, 400, 500, 800, 1_600, 2_000, 4_000, 30_000];
        let mut now = 1_000;
        let mut shutdown = None;
        let mut connections: Vec<ClientConnection> =
            (0..8).map(|_| ClientConnection::new(now)).collect();
        for _ in 0..EVENTS {
            now += step(rng, &durations);
            let index = rng.below(8) as usize;
            client_event(rng, digest, &mut connections[index], now);
            if rng.one_in(200) {
                shutdown = rng.pick(&[None, Some(GracefulShutdown::by_operator(now))]);
            }
            for connection in &mut connections {
                digest.add(u64::from(connection.may_read(now)));
                digest.add(phase_code(connection.phase()));
                let action = connection.check_timeouts(now, shutdown);
                digest.add(match action {
                    client_connection::TimeoutAction::Nothing => 0,
                    client_connection::TimeoutAction::RejectLateRequest => 1,
                    client_connection::TimeoutAction::Close => 2,
                });
                if action != client_connection::TimeoutAction::Nothing && rng.one_in(2) {
                    *connection = ClientConnection::new(now);
                }
            }
            let candidates = connections
                .iter()
                .enumerate()
                .map(|(index, connection)| (index as u32, connection));
            digest
                .add_option(client_connection::eviction_candidate(candidates, now).map(u64::from));
            digest.add(u64::from(client_connection::poll_result_is_stale(
                rng.below(60),
            )));
        }
    });
}

#[test]
fn eviction_candidates_match_the_recorded_digests() {
    assert_pinned(&NEW_CONNECTIONS, |rng, digest| {
        for _ in 0..EVENTS {
            let now = 100;
            let mut connections = Vec::new();
            for index in 0..2 + rng.below(3) as u32 {
                let mut connection = ClientConnection::new(now - rng.below(9));
                if rng.one_in(3) {
                    connection.enter_phase(Phase::Idle, now - rng.below(9));
                }
                connections.push((index, connection));
            }
            let candidates = connections
                .iter()
                .map(|(index, connection)| (*index, connection));
            digest
                .add_option(client_connection::eviction_candidate(candidates, now).map(u64::from));
        }
    });
}

fn client_event(
    rng: &mut SeededRng,
    digest: &mut Digest,
    connection: &mut ClientConnection,
    now: u64,
) {
    match rng.below(12) {
        0..=6 => {
            let phases = [
                Phase::AwaitingFirstRequest,
                Phase::ReceivingRequest,
                Phase::ReceivingRequest,
                Phase::InFlight,
                Phase::SendingResponse,
                Phase::Idle,
                Phase::Lingering,
            ];
            connection.enter_phase(rng.pick(&phases), now);
        }
        7 | 8 => connection.request_rejected(now),
        9 if rng.one_in(6) => connection.request_accepted(),
        10 => digest.add(u64::from(
            connection.bytes_discarded(rng.below(70_000) as usize),
        )),
        _ if rng.one_in(5) => *connection = ClientConnection::new(now),
        _ => {}
    }
}

fn phase_code(phase: Phase) -> u64 {
    match phase {
        Phase::AwaitingFirstRequest => 0,
        Phase::ReceivingRequest => 1,
        Phase::InFlight => 2,
        Phase::SendingResponse => 3,
        Phase::Idle => 4,
        Phase::Lingering => 5,
    }
}

#[test]
fn discarded_bytes_have_the_recorded_limit() {
    let mut connection = ClientConnection::new(0);
    assert!(!connection.bytes_discarded(256 * 1024 - 1));
    assert!(connection.bytes_discarded(1));
}

#[test]
fn shutdown_decisions_match_the_recorded_digests() {
    assert_pinned(&SHUTDOWN, |rng, digest| {
        for _ in 0..400 {
            let requested_at = rng.below(100_000);
            let (longest, longest_objective) = (rng.below(4_000), rng.below(4_000));
            let shutdown = if rng.one_in(3) {
                GracefulShutdown::by_operator(requested_at)
            } else {
                GracefulShutdown::by_platform(requested_at, longest, longest_objective)
            };
            digest.add_option(shutdown.answer_deadline());
            for now in requested_at..requested_at + 3_700 {
                if shutdown.admits_clients(now) != shutdown.admits_clients(now + 1) {
                    digest.add(now);
                }
            }
            let (now, clients) = (requested_at + rng.below(4_000), rng.below(2) as usize);
            digest.add(u64::from(shutdown.is_complete(now, clients)));
            digest.add(u64::from(GracefulShutdown::is_safe_to_retry(
                rng.below(3) as u32
            )));
        }
    });
}

#[test]
fn node_connection_decisions_match_the_recorded_digests() {
    assert_pinned(&NODE_CONNECTIONS, |rng, digest| {
        let durations = [1_000, 1_001, 2_000];
        let (mut connection, mut request) =
            (NodeConnection::default(), EndpointListRequest::default());
        let mut now = 0;
        for _ in 0..EVENTS {
            now += step(rng, &durations);
            match rng.below(16) {
                0..=3 => digest.add(u64::from(connection.open_if_closed(now))),
                4 | 5 => connection.login_finished(),
                6 => connection.closed(),
                7 | 8 => connection.abort_sent(now),
                9 | 10 => connection.abort_answered(now),
                11 => connection.set_node_removed(rng.one_in(3)),
                12 if rng.one_in(3) => request.sent(now),
                13 if rng.one_in(6) => request.finished(),
                _ => {}
            }
            let in_flight = rng.below(3) as usize;
            digest.add(match connection.check_timeouts(now, in_flight) {
                None => 0,
                Some(node_connection::CloseReason::LoginTimeout) => 1,
                Some(node_connection::CloseReason::AbortTimeout) => 2,
                Some(node_connection::CloseReason::NodeRemoved) => 3,
            });
            digest.add(u64::from(connection.is_ready()));
            digest.add(u64::from(request.has_timed_out(now)));
        }
    });
}

#[test]
fn budgets_and_idle_connection_decisions_match_the_recorded_digests() {
    assert_pinned(&BUDGETS, |rng, digest| {
        for _ in 0..300 {
            let budget = ResourceBudget::new(rng.below(5_000), rng.below(4_096));
            let limits = [
                budget.client_connections,
                budget.node_connections,
                budget.client_bytes,
                budget.node_bytes,
            ];
            for limit in limits {
                digest.add(limit as u64);
            }
        }
        let mut now = 1_000;
        let mut keep_alive =
            KeepAlivePolicy::new(rng.pick(&[None, Some(30_000), Some(7_000), Some(60)]), now);
        for _ in 0..EVENTS {
            now += step(rng, &[1_000, 10_000, 20_000]);
            match rng.below(40) {
                0 => keep_alive.connection_lost(rng.below(60), rng.below(8), now),
                1 => keep_alive.connection_lost(rng.below(20_000), rng.below(8), now),
                2 | 3 => keep_alive.new_connection_rejected(now),
                4 if rng.one_in(20) => {
                    keep_alive =
                        KeepAlivePolicy::new(rng.pick(&[None, Some(30_000), Some(7_000)]), now);
                }
                _ => {}
            }
            let timeout = keep_alive.idle_timeout(now);
            digest.add(timeout);
            let mut idle: Vec<u64> = (0..rng.below(5)).map(|_| rng.below(timeout + 4)).collect();
            idle.push(rng.below(4));
            idle.sort_unstable_by(|a, b| b.cmp(a));
            digest.add_option(
                keep_alive::select_idle_connection(idle.iter().copied(), timeout)
                    .map(|position| position as u64),
            );
            for idle in [rng.below(4), timeout - 1, timeout, timeout + 1] {
                digest.add(match keep_alive::reusability(idle, timeout) {
                    Reusability::Reusable => 0,
                    Reusability::Settling => 1,
                    Reusability::Expired => 2,
                });
            }
        }
        digest.add(u64::from(keep_alive::keep_after_response(false)));
        digest.add(u64::from(keep_alive::keep_after_response(true)));
    });
}

#[test]
fn splits_of_commands_match_the_recorded_digests() {
    assert_pinned(&SPLITTING, |rng, digest| {
        let mut sub_requests = Vec::new();
        for _ in 0..100 {
            let layout = random_layout(rng);
            for _ in 0..20 {
                let (write, lba, blocks) = (rng.one_in(2), rng.below(110), rng.below(50) as u32);
                let is_inside = layout.split(write, lba, blocks, &mut sub_requests).is_ok();
                digest.add(u64::from(is_inside));
                for sub_request in sub_requests.iter().filter(|_| is_inside) {
                    let fields = [
                        sub_request.offset,
                        sub_request.blocks,
                        sub_request.shard,
                        u32::from(sub_request.class),
                    ];
                    for field in fields {
                        digest.add(u64::from(field));
                    }
                    digest.add(sub_request.node_lba);
                    digest.add_option(sub_request.ordering_key);
                }
            }
        }
    });
}

fn random_layout(rng: &mut SeededRng) -> VolumeLayout {
    let mut layout = VolumeLayout::default();
    let mut first = 0;
    let extents = 1 + rng.below(6) as u32;
    for shard in 0..extents {
        let blocks = 1 + rng.below(25);
        layout.extents.push(Extent {
            first_block: first,
            blocks,
            shard,
            first_node_block: rng.below(1_000_000),
        });
        first += blocks;
    }
    for class in 0..rng.below(5) as u16 {
        let first = rng.below(100);
        let (last, key) = (first + rng.below(50), rng.pick(&[0, 0, 1, 3, 8]));
        layout.rules.push(ClassRule {
            matches_reads: rng.one_in(2),
            matches_writes: rng.one_in(2),
            first_block: first,
            last_block: last,
            class,
            blocks_per_key: NonZeroU64::new(key),
        });
    }
    if !rng.one_in(5) {
        let (first, last, class, key) = (0, u64::MAX, 9, rng.pick(&[0, 7]));
        layout.rules.push(ClassRule {
            matches_reads: true,
            matches_writes: true,
            first_block: first,
            last_block: last,
            class,
            blocks_per_key: NonZeroU64::new(key),
        });
    }
    layout
}

#[test]
fn combined_outcomes_of_sub_requests_match_the_recorded_digests() {
    let code = |outcome: RequestOutcome| match outcome {
        RequestOutcome::Completed => 1,
        RequestOutcome::Failed => 2,
        RequestOutcome::Shed { retry_after } => 1_000 + retry_after.unwrap_or(0) as u64,
    };
    assert_pinned(&ANSWERS, |rng, digest| {
        for _ in 0..EVENTS / 4 {
            let sub_requests = 1 + rng.below(5) as u32;
            let mut progress = CommandProgress::new(sub_requests);
            for _ in 0..sub_requests {
                for _ in 0..rng.below(3) {
                    match rng.below(8) {
                        0 | 1 => progress.attempt_sent(),
                        2..=4 => progress.attempt_did_not_run(),
                        5 if rng.one_in(6) => progress.client_disconnected(),
                        _ => {}
                    }
                }
                let retry_after = Some(rng.below(100) as i64);
                let outcome = rng.pick(&[
                    RequestOutcome::Completed,
                    RequestOutcome::Completed,
                    RequestOutcome::Completed,
                    RequestOutcome::Shed { retry_after },
                    RequestOutcome::Failed,
                ]);
                digest.add_option(progress.sub_request_finished(outcome).map(code));
                digest.add(u64::from(progress.is_answered()));
                digest.add(u64::from(progress.is_finished()));
            }
        }
    });
}

#[test]
fn watch_decisions_match_the_recorded_digests() {
    assert_pinned(&WATCHES, |rng, digest| {
        let mut now = 0;
        let mut slots = WatchSlots::default();
        let mut watches = [WatchLiveness::new(0), WatchLiveness::new(0)];
        for _ in 0..EVENTS {
            now += step(rng, &[1_200, 2_000, 3_200, 4_000]);
            let slot = rng.below(2) as usize;
            match rng.below(40) {
                0 => {
                    let next = slots.next_slot(watches[slot].is_established());
                    watches[next] = WatchLiveness::new(now);
                    digest.add(next as u64);
                }
                1 | 2 => watches[slot].response_started(),
                3 => {
                    digest.add(u64::from(watches[slot].event_received(now)));
                    digest.add_option(slots.superseded_by(slot).map(|slot| slot as u64));
                }
                _ => {}
            }
            for (slot, watch) in watches.iter_mut().enumerate() {
                digest.add(watch.fails_at());
                digest.add(u64::from(watch.is_established()));
                digest.add(u64::from(watch.check_failure(now)));
                digest.add(u64::from(slots.is_latest(slot)));
            }
        }
    });
}

const ADMISSION: [u64; 20] = [
    0x7bed_2726_b97e_85d8,
    0xd40d_e12e_e9a1_4c4d,
    0xdc89_8f60_bfc4_e595,
    0xf8b7_ebab_287c_440e,
    0x759e_7213_a814_dcb9,
    0xc307_2b67_a479_fac4,
    0x18e8_4103_ba4f_5de3,
    0x00ad_ae48_bca4_1dbb,
    0x3dd8_e5b2_5a92_6969,
    0xa62b_60be_ec39_4a51,
    0x1036_785f_ad15_1c24,
    0x027c_1b58_1ae5_ecf7,
    0x6ac1_6016_6e94_ae0c,
    0xb8c0_7be3_08c1_9b3d,
    0x1dcc_fa21_526d_c37b,
    0xb537_6ea1_3798_d684,
    0x8060_99b7_15b9_6b1c,
    0x59e2_51ad_9c47_1aef,
    0xd3c4_9831_ab07_3b4a,
    0xef0b_8233_9eae_7c2a,
];

const SILENT_SESSIONS: [u64; 20] = [
    0x3e89_beb4_87e7_f924,
    0xc7ed_254e_86ba_e2e5,
    0x8cc4_5dd3_685a_2b25,
    0x4925_9da0_27de_bc85,
    0x8869_9965_57c8_4581,
    0x297e_a6fc_c245_5d20,
    0x0f28_feb7_b5c6_b985,
    0x4a20_d530_a272_4520,
    0x2a79_d38d_8690_bb05,
    0x0308_4881_0e3f_c145,
    0x8073_7d9c_2e3f_c620,
    0xb5f7_fd70_fd78_6aa1,
    0xfd44_97bd_1a68_3c41,
    0x9e42_3371_a020_c360,
    0xdc22_39a6_39cf_e604,
    0x265a_73bb_e3dc_1060,
    0x8052_5e5a_9a52_08a5,
    0x4ec0_4b81_e155_1ea4,
    0xbd1c_fc31_0e53_c4c1,
    0x719a_29d0_5ef3_4305,
];

const CLIENT_CONNECTIONS: [u64; 20] = [
    0xcabe_7fca_a2b0_8262,
    0x1a71_a189_6717_80a2,
    0x2cfd_c236_29fb_fdc1,
    0x59e7_12d0_abe3_f9a5,
    0xe667_f231_7275_2682,
    0x360f_f743_d31e_8727,
    0x70fc_db66_959c_bd46,
    0x8b7a_412f_5e61_c5a4,
    0xc442_f793_01eb_05c6,
    0x4d72_250c_8600_6323,
    0x09aa_0d86_6ed9_0c63,
    0x6678_15bf_22a3_4ba3,
    0x575a_4c48_fe92_4c22,
    0xece4_465c_ec26_1e85,
    0x7926_cf90_9945_fbe4,
    0x8677_9b97_9e4f_9ee0,
    0x876c_19cb_80b2_79a6,
    0xe23d_f451_cbde_57a6,
    0x17b8_8e4f_4d08_2924,
    0x9daf_4f7d_140e_9303,
];

const NEW_CONNECTIONS: [u64; 20] = [
    0xf6ec_028d_a7d8_a704,
    0x6571_a4c7_7e0e_cc04,
    0x6d26_dc0b_7400_cfc6,
    0xfba3_73ad_109e_5784,
    0x2f81_a612_22ae_5ca5,
    0x1f67_22f0_459e_6146,
    0xcb91_a1e3_83e8_1367,
    0x2972_01f3_5264_71e7,
    0x00e6_cd89_2ab7_1dc6,
    0xdaa9_e271_43b8_6b04,
    0xfbf9_a118_6e23_2b25,
    0xaa7a_7545_9a7a_5967,
    0x51aa_903b_2711_8004,
    0x11c1_840d_4d88_b904,
    0x278e_e88c_2ea4_c167,
    0x2903_e4d6_998b_d104,
    0x2a93_9636_765e_1546,
    0xa78b_c301_739a_1867,
    0x4b2d_d256_4755_1de7,
    0x9bc1_7667_2c00_3484,
];

const SHUTDOWN: [u64; 20] = [
    0x8517_a560_e04c_a91a,
    0x0a40_43e2_1d97_d363,
    0x8dec_ccc3_ff1e_76e7,
    0x2145_9dd2_3e96_2ebe,
    0x7705_4b7d_cc82_3898,
    0xf6d5_cf6d_48bf_e324,
    0x2b83_5ee7_3f1b_5850,
    0x266c_7f7b_d270_fe86,
    0x6e7a_0d2a_98b3_6aa7,
    0x7fe2_b2ce_498c_1e7e,
    0x5657_2014_b52f_ede6,
    0xa574_ff4d_7bf1_6102,
    0x20e0_9e99_fa06_2911,
    0x2c83_2aa2_aa38_88e9,
    0xb618_d8e4_38fb_f802,
    0xf41e_9e8c_4e75_863e,
    0xa2b8_74cd_26ae_a0b7,
    0x41cc_3fab_82a3_681a,
    0x7b59_df69_aa39_3c1b,
    0xe3e5_f5c4_e5a2_afec,
];

const NODE_CONNECTIONS: [u64; 20] = [
    0x1471_910b_4ea8_7545,
    0x1b54_4a79_1ece_6665,
    0xdf21_4828_5d5c_bbe6,
    0x56b5_230f_9d81_e6c4,
    0x71a8_509a_8857_56c6,
    0xe8ac_a781_f339_12c4,
    0xf3a4_f0c3_0755_1867,
    0x638a_d6e7_5734_08a4,
    0xca6c_e762_1d30_ffc4,
    0x71fd_9d9f_cbc7_0c46,
    0xbea5_9d43_f3c0_3227,
    0xf19e_5b9c_f202_bc06,
    0xc88e_bfc0_b6d4_02a4,
    0x207a_705e_a03e_8066,
    0x021c_d7c3_80f7_0246,
    0xb6a2_1a51_120a_3646,
    0x780c_27b2_e487_2187,
    0xf8cf_927b_2f4d_1da4,
    0x23da_0943_c985_c644,
    0xf213_d58c_0e8b_d625,
];

const BUDGETS: [u64; 20] = [
    0x78eb_9a10_8015_6ea6,
    0x5fae_101b_6a49_5b1b,
    0x128c_9fc5_2a10_f086,
    0x8113_6140_2e46_807c,
    0xcbea_4ae4_33c9_4bf9,
    0x247d_e409_17b0_3f80,
    0xb4ba_1471_beae_54a2,
    0xa39a_8b95_6598_eb12,
    0xdda8_9d94_202c_b8d4,
    0xa213_59e2_4d5f_f478,
    0xeab5_e72d_a4d2_d6de,
    0x54a2_2f02_722f_a45f,
    0xef37_ecec_e060_8562,
    0x8db1_c867_c24d_20ca,
    0xf00d_3584_36fe_230a,
    0x93f6_1c8a_de32_c182,
    0x1ae5_856d_5449_69d2,
    0xdfaa_6c21_7fdf_1fbd,
    0xa5e9_c3a4_b948_04a5,
    0xbbc1_160d_57f7_ac31,
];

const SPLITTING: [u64; 20] = [
    0xcc24_8908_57d4_3e95,
    0xc036_d55c_cf07_184a,
    0x21b9_52e3_ebd4_001a,
    0xa3c4_fe97_2252_04e4,
    0x681e_e7b8_f67e_3b52,
    0x957d_47fc_4bde_0f3a,
    0x726a_90b7_717e_b630,
    0x687a_f48b_6973_7de2,
    0xd54d_02bd_7e04_5908,
    0x7895_fb4e_4997_4c6f,
    0x618c_1fc9_3c17_f976,
    0x3bfb_a567_b048_de57,
    0x1840_976a_96bb_9010,
    0x586f_be3c_f659_feb0,
    0x91f0_b1a5_58c3_fb77,
    0xd30a_90dd_3cf6_debb,
    0xdbe6_810e_714d_7bab,
    0x6c3a_f514_bffa_135b,
    0x1ffb_1403_e36b_2348,
    0x2ead_de45_0d9e_d618,
];

const ANSWERS: [u64; 20] = [
    0xfb30_0a8d_2387_79fa,
    0x9afb_0489_4fae_580a,
    0x0cce_8b2d_33aa_cf42,
    0x3b05_053d_bfae_f8de,
    0x1aed_933a_eea6_f515,
    0xeb53_48fb_ce4c_ef8c,
    0x1153_05cc_a863_684e,
    0xbe44_abb9_fbfc_a6d6,
    0xec01_3e1d_bd5b_0b9b,
    0x0ba5_3fae_62e7_43e8,
    0xb78c_c915_7fc5_96dd,
    0x88b6_d5ac_ef62_752b,
    0x5b57_6280_89b3_68d8,
    0x75a4_8673_c4e8_c56a,
    0x8d30_2e04_cd22_708b,
    0xe070_98be_a31a_b3a7,
    0x1ac3_b8ba_1c1f_8264,
    0xd862_abc2_7857_633b,
    0x0ae7_4abc_a32c_947b,
    0x2ee2_f813_d226_9e1d,
];

const WATCHES: [u64; 20] = [
    0xdbb3_6e4a_4bf7_7292,
    0x5f64_2fa4_0016_53a0,
    0x8666_14f3_b206_1ccf,
    0x4804_767d_b3b4_9b06,
    0x97aa_083a_331d_dcd5,
    0x2919_4665_dee1_c851,
    0xdc77_90cd_065c_4968,
    0x1123_028e_352d_20f2,
    0x9ae8_b3a3_226e_4091,
    0xfb25_a683_c71e_ac91,
    0xa608_3851_6443_b3c5,
    0x6dbc_bdb2_36bf_a87f,
    0xdc3d_9039_b59b_ee01,
    0xd696_3990_ae32_f08b,
    0x84af_1185_bba9_8ca7,
    0x3ccb_5f9d_8d2c_ebae,
    0x4039_4a99_7a5f_d042,
    0x8838_cc9f_1bb5_e8ad,
    0xb71f_d8c3_d523_3c73,
    0x60f4_2002_ab7f_491f,
];
