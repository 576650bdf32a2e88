//! Login keys and their answers, stages, rejected logins and defaults.
use crate::harness::{AdmitKnownTarget, config, frame, short_lengths};
use mallowseam_iscsi::frame::{Digests, PduDecoder};
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, opcode};
use mallowseam_iscsi::target::{TargetConfig, TargetConnection};
use std::rc::Rc;

/// Returns a login request with the text `keys`, in which `/` stands for the NUL after each pair.
fn login_request(flags: u8, keys: &str) -> Request {
    let data: Vec<u8> = keys
        .bytes()
        .map(|byte| if byte == b'/' { 0 } else { byte })
        .collect();
    Request(
        Bhs::new(opcode::LOGIN_REQUEST, flags)
            .with_immediate()
            .with_isid([9; 6])
            .with_itt(3)
            .with_cmd_sn(5),
        data,
    )
}

/// Header and data of a request.
struct Request(Bhs, Vec<u8>);

/// Returns the answers of a target to login requests: `status flags keys` of each response, then the text of the error
/// if there is one.
fn login_answers(requests: &[Request]) -> String {
    let proposal = ProposedParams {
        digests: Digests {
            header: false,
            data: true,
        },
        ..short_lengths()
    };
    let mut target = TargetConnection::new(config(proposal, 4));
    let mut answers = Vec::new();
    for Request(bhs, data) in requests {
        let received = target.receive(&frame(*bhs, data), &mut AdmitKnownTarget);
        let waiting = target.send_buffer().unsent().to_vec();
        target.send_buffer().mark_sent(waiting.len());
        let mut decoder = PduDecoder::new(1 << 16);
        if let Ok(Some(pdu)) = decoder.decode(&mut &waiting[..]) {
            let keys = String::from_utf8_lossy(&pdu.data).replace('\0', "/");
            let (class, detail) = (pdu.bhs.byte(36), pdu.bhs.byte(37));
            answers.push(format!(
                "{class:02x}{detail:02x} {:02x} {keys}",
                pdu.bhs.flags()
            ));
        }
        if let Err(error) = received {
            answers.push(error.to_string());
            break;
        }
    }
    answers.join(" | ")
}

/// Keys that name the initiator and the target.
const NAMES: &str = "InitiatorName=iqn.i/TargetName=iqn.t/";

#[test]
fn each_login_key_has_its_answer() {
    for (key, expected) in LOGIN_KEYS {
        let found = login_answers(&[login_request(0x87, &format!("{NAMES}{key}/"))]);
        assert_eq!(found, *expected, "{key}");
    }
}

#[test]
fn login_stages_are_followed_and_invalid_logins_rejected() {
    let mut version = login_request(0x87, NAMES);
    version.0 = version.0.with_byte(3, 1);
    let (long_key, long_value) = ("k".repeat(64), "v".repeat(256));
    let keys: Vec<String> = (0..65).map(|n| format!("k{n}=v/")).collect();
    let too_many_pairs = keys.concat();
    let chunk = "x".repeat(8100);
    let cases: Vec<Vec<Request>> = vec![
        vec![version],
        vec![login_request(0xc7, NAMES)],
        vec![login_request(0x0c, NAMES)],
        vec![login_request(0x86, NAMES)],
        vec![login_request(0x84, NAMES)],
        vec![login_request(0x87, "TargetName=iqn.t/")],
        vec![login_request(0x87, "InitiatorName=/TargetName=iqn.t/")],
        vec![login_request(0x87, "InitiatorName=iqn.i/")],
        vec![login_request(
            0x87,
            "InitiatorName=iqn.i/SessionType=Discovery/",
        )],
        vec![login_request(0x87, "InitiatorName=iqn.i/TargetName=iqn.x/")],
        vec![login_request(0x87, &format!("{NAMES}no pair/"))],
        vec![login_request(0x87, &format!("{NAMES}b d=1/"))],
        vec![login_request(0x87, &format!("{NAMES}=1/"))],
        vec![login_request(0x87, &format!("{NAMES}{long_key}=1/"))],
        vec![login_request(0x87, &format!("{NAMES}k={long_value}/"))],
        vec![login_request(0x87, &format!("{NAMES}TargetName=iqn.t/"))],
        vec![login_request(0x87, &too_many_pairs)],
        vec![
            login_request(0x81, &format!("{NAMES}AuthMethod=CHAP,None/")),
            login_request(0x87, "DataDigest=None/"),
        ],
        vec![login_request(0x81, &format!("{NAMES}AuthMethod=CHAP/"))],
        vec![
            login_request(0x04, NAMES),
            login_request(0x04, "ImmediateData=No/"),
            login_request(0x87, ""),
        ],
        vec![
            login_request(0x04, NAMES),
            login_request(0x00, "ImmediateData=No/"),
        ],
        vec![
            login_request(0x44, "InitiatorName=iqn.i/Tar"),
            login_request(0x87, "getName=iqn.t/"),
        ],
        vec![
            login_request(0x44, &chunk),
            login_request(0x44, &chunk),
            login_request(0x44, &chunk),
        ],
        vec![Request(Bhs::new(opcode::NOP_OUT, 0x80), vec![])],
        vec![Request(
            Bhs::new(opcode::LOGIN_REQUEST, 0x87),
            vec![0xff, 0xfe, b'=', b'1', 0],
        )],
        vec![Request(
            Bhs::new(opcode::LOGIN_REQUEST, 0x87),
            vec![b'x'; 8193],
        )],
    ];
    let found: Vec<String> = cases
        .iter()
        .map(|requests| login_answers(requests))
        .collect();
    assert_eq!(found, LOGIN_STAGES);
}

/// Returns what an initiator does with a login response: whether it is logged in and the number of bytes to send, or
/// the text of the error.
fn initiator_login(bhs: Bhs, keys: &str) -> String {
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &short_lengths());
    let request = initiator.send_buffer().unsent().len();
    initiator.send_buffer().mark_sent(request);
    let data: Vec<u8> = keys
        .bytes()
        .map(|byte| if byte == b'/' { 0 } else { byte })
        .collect();
    match initiator.receive(&frame(bhs, &data)) {
        Err(error) => error.to_string(),
        Ok(()) => format!(
            "{} {}",
            initiator.is_logged_in(),
            initiator.send_buffer().unsent().len()
        ),
    }
}

#[test]
fn initiator_accepts_or_rejects_each_login_response() {
    let last = Bhs::new(opcode::LOGIN_RESPONSE, 0x87);
    let mut found = vec![
        initiator_login(Bhs::new(opcode::NOP_IN, 0x80), ""),
        initiator_login(last.with_byte(36, 3).with_byte(37, 1), ""),
        initiator_login(last, "no pair/"),
        initiator_login(last, ""),
        initiator_login(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), ""),
    ];
    for keys in [
        "HeaderDigest=Reject/",
        "DataDigest=CRC/",
        "DataDigest=NotUnderstood/",
        "MaxRecvDataSegmentLength=511/",
        "MaxRecvDataSegmentLength=0x200/",
        "InitialR2T=Maybe/",
        "ImmediateData=Irrelevant/",
        "ImmediateData=1/",
        "MaxBurstLength=16777216/",
        "FirstBurstLength=x/",
        "iSCSIProtocolLevel=32/",
        "Unheard=of/",
    ] {
        found.push(initiator_login(last, keys));
    }
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &short_lengths());
    for _ in 0..10 {
        if let Err(error) = initiator.receive(&frame(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), &[])) {
            found.push(error.to_string());
            break;
        }
    }
    let offer = InitiatorConnection::new("iqn.i", None, [0; 6], &short_lengths())
        .send_buffer()
        .unsent()
        .to_vec();
    found.push(String::from_utf8_lossy(&offer[48..]).replace('\0', "/"));
    assert_eq!(found, LOGIN_RESPONSES);
}

#[test]
fn unsolicited_data_that_was_not_negotiated_is_an_error() {
    let mut target = TargetConnection::new(config(short_lengths(), 4));
    let Request(bhs, data) =
        login_request(0x87, &format!("{NAMES}InitialR2T=Yes/ImmediateData=No/"));
    target
        .receive(&frame(bhs, &data), &mut AdmitKnownTarget)
        .expect("login request is accepted");
    let command = Bhs::new(opcode::SCSI_COMMAND, 0xa0)
        .with_itt(1)
        .with_expected_data_len(900)
        .with_cmd_sn(5);
    let mut errors = Vec::new();
    for (bhs, len) in [(command.with_byte(1, 0x20), 0), (command.with_cmd_sn(6), 4)] {
        let error = target
            .receive(&frame(bhs, &vec![1; len]), &mut AdmitKnownTarget)
            .expect_err("unsolicited data was not negotiated");
        errors.push(error.to_string());
    }
    let expected = [
        "unsolicited Data-Out announced although InitialR2T is Yes",
        "immediate data exceeds the negotiated length or the length of the write",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn initiator_fails_a_login_that_needs_more_than_eight_further_requests() {
    let mut initiator = InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &short_lengths());
    let response = frame(Bhs::new(opcode::LOGIN_RESPONSE, 0x04), &[]);
    let accepted_responses = (0..20)
        .take_while(|_| initiator.receive(&response).is_ok())
        .count();
    assert_eq!(accepted_responses, 8);
}

#[test]
fn defaults_are_offered_and_enforced() {
    let offer =
        InitiatorConnection::new("iqn.i", Some("iqn.t"), [0; 6], &ProposedParams::default())
            .send_buffer()
            .unsent()
            .to_vec();
    assert_eq!(
        String::from_utf8_lossy(&offer[48..]).replace('\0', "/"),
        DEFAULT_OFFER
    );
    for (immediate, expected) in [
        (65_536, "none"),
        (
            65_537,
            "immediate data exceeds the negotiated length or the length of the write",
        ),
    ] {
        let mut target = TargetConnection::new(Rc::new(TargetConfig {
            proposal: ProposedParams::default(),
            command_window: 4,
            max_transfer_bytes: 1 << 20,
            target_names: vec![],
            portal_address: String::new(),
        }));
        let Request(bhs, data) = login_request(0x87, NAMES);
        target
            .receive(&frame(bhs, &data), &mut AdmitKnownTarget)
            .expect("login request is accepted");
        let answer = target.send_buffer().unsent().to_vec();
        target.send_buffer().mark_sent(answer.len());
        assert_eq!(
            &answer[48..],
            b"TargetPortalGroupTag=1\0MaxRecvDataSegmentLength=262144\0\0"
        );
        let write = Bhs::new(opcode::SCSI_COMMAND, 0xa0)
            .with_itt(1)
            .with_expected_data_len(600_000)
            .with_cmd_sn(5);
        let received = target.receive(&frame(write, &vec![1; immediate]), &mut AdmitKnownTarget);
        assert_eq!(
            received
                .err()
                .map_or("none".into(), |error| error.to_string()),
            expected
        );
        if expected == "none" {
            let transfer = target.send_buffer().unsent();
            assert_eq!(
                (transfer[0], &transfer[44..48]),
                (opcode::R2T, &262_144_u32.to_be_bytes()[..])
            );
        }
    }
}

const LOGIN_KEYS: &[(&str, &str)] = &[
    (
        "HeaderDigest=CRC32C,None",
        "0000 87 HeaderDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "HeaderDigest=None,CRC32C",
        "0000 87 HeaderDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "HeaderDigest=None",
        "0000 87 HeaderDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "HeaderDigest=CRC32C",
        "0000 87 HeaderDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "HeaderDigest=Other",
        "0200 04  | login refused (0200): HeaderDigest=Other: expected CRC32C or None",
    ),
    (
        "DataDigest=None,CRC32C",
        "0000 87 DataDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DataDigest=None",
        "0000 87 DataDigest=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DataDigest=Other,CRC32C",
        "0000 87 DataDigest=CRC32C/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DataDigest=",
        "0200 04  | login refused (0200): DataDigest=: expected CRC32C or None",
    ),
    (
        "MaxRecvDataSegmentLength=512",
        "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxRecvDataSegmentLength=0xffffff",
        "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxRecvDataSegmentLength=511",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=511: expected 512 to 16777215",
    ),
    (
        "MaxRecvDataSegmentLength=16777216",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=16777216: expected 512 to 16777215",
    ),
    (
        "MaxRecvDataSegmentLength=0Xzz",
        "0200 04  | login refused (0200): MaxRecvDataSegmentLength=0Xzz: expected 512 to 16777215",
    ),
    (
        "InitialR2T=Yes",
        "0000 87 InitialR2T=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "InitialR2T=No",
        "0000 87 InitialR2T=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "InitialR2T=yes",
        "0200 04  | login refused (0200): InitialR2T=yes: expected Yes or No",
    ),
    (
        "ImmediateData=Yes",
        "0000 87 ImmediateData=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "ImmediateData=No",
        "0000 87 ImmediateData=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "ImmediateData=0",
        "0200 04  | login refused (0200): ImmediateData=0: expected Yes or No",
    ),
    (
        "MaxBurstLength=512",
        "0000 87 MaxBurstLength=512/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxBurstLength=100000",
        "0000 87 MaxBurstLength=4096/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxBurstLength=9",
        "0200 04  | login refused (0200): MaxBurstLength=9: expected 512 to 16777215",
    ),
    (
        "FirstBurstLength=512",
        "0000 87 FirstBurstLength=512/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "FirstBurstLength=100000",
        "0000 87 FirstBurstLength=2048/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "FirstBurstLength=-1",
        "0200 04  | login refused (0200): FirstBurstLength=-1: expected 512 to 16777215",
    ),
    (
        "MaxBurstLength=1024/FirstBurstLength=2000",
        "0000 87 MaxBurstLength=1024/FirstBurstLength=1024/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxBurstLength=1024/FirstBurstLength=900",
        "0000 87 MaxBurstLength=1024/FirstBurstLength=900/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Wait=0",
        "0000 87 DefaultTime2Wait=2/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Wait=5",
        "0000 87 DefaultTime2Wait=5/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Wait=3601",
        "0200 04  | login refused (0200): DefaultTime2Wait=3601: expected 0 to 3600",
    ),
    (
        "DefaultTime2Retain=0",
        "0000 87 DefaultTime2Retain=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Retain=20",
        "0000 87 DefaultTime2Retain=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DefaultTime2Retain=x",
        "0200 04  | login refused (0200): DefaultTime2Retain=x: expected 0 to 3600",
    ),
    (
        "MaxConnections=8",
        "0000 87 MaxConnections=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxConnections=65536",
        "0200 04  | login refused (0200): MaxConnections=65536: expected 0 to 65535",
    ),
    (
        "MaxOutstandingR2T=3",
        "0000 87 MaxOutstandingR2T=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "MaxOutstandingR2T=no",
        "0200 04  | login refused (0200): MaxOutstandingR2T=no: expected 0 to 65535",
    ),
    (
        "ErrorRecoveryLevel=2",
        "0000 87 ErrorRecoveryLevel=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "ErrorRecoveryLevel=3",
        "0200 04  | login refused (0200): ErrorRecoveryLevel=3: expected 0 to 2",
    ),
    (
        "DataPDUInOrder=No",
        "0000 87 DataPDUInOrder=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "DataPDUInOrder=2",
        "0200 04  | login refused (0200): DataPDUInOrder=2: expected Yes or No",
    ),
    (
        "DataSequenceInOrder=Yes",
        "0000 87 DataSequenceInOrder=Yes/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=0",
        "0000 87 iSCSIProtocolLevel=0/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=1",
        "0000 87 iSCSIProtocolLevel=1/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=31",
        "0000 87 iSCSIProtocolLevel=2/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "iSCSIProtocolLevel=32",
        "0200 04  | login refused (0200): iSCSIProtocolLevel=32: expected 0 to 31",
    ),
    (
        "IFMarker=Yes",
        "0000 87 IFMarker=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "OFMarker=Yes",
        "0000 87 OFMarker=No/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "TaskReporting=RFC3720",
        "0000 87 TaskReporting=NotUnderstood/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "X-com.example=1",
        "0000 87 X-com.example=NotUnderstood/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "InitiatorAlias=me",
        "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "AuthMethod=None",
        "0000 87 AuthMethod=None/TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
    (
        "SessionType=Normal",
        "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    ),
];

const LOGIN_STAGES: &[&str] = &[
    "0205 04  | login refused (0205): initiator does not support protocol version 0",
    "020b 04  | login refused (020b): transit and continue bits of the login request are both set",
    "020b 0c  | login refused (020b): login request is not for the current stage of the login",
    "020b 04  | login refused (020b): next stage of the login does not follow the current one",
    "020b 04  | login refused (020b): next stage of the login does not follow the current one",
    "0207 04  | login refused (0207): InitiatorName is missing from the first login request",
    "0207 04  | login refused (0207): InitiatorName is missing from the first login request",
    "0207 04  | login refused (0207): TargetName is missing from the first login request of a normal session",
    "0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    "0203 04  | login refused (0203): login policy does not admit initiator iqn.i",
    "0200 04  | login refused (0200): invalid text pair \"no pair\": expected key=value",
    "0200 04  | login refused (0200): invalid key name \"b d\": expected 1 to 63 letters, digits or characters of .-+@_/",
    "0200 04  | login refused (0200): invalid key name \"\": expected 1 to 63 letters, digits or characters of .-+@_/",
    "0200 04  | login refused (0200): invalid key name \"kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\": expected 1 to 63 letters, digits or characters of .-+@_/",
    "0200 04  | login refused (0200): value of key k is too long: expected up to 255 bytes",
    "0200 04  | login refused (0200): duplicate key TargetName",
    "0200 04  | login refused (0200): too many key=value pairs: expected at most 64",
    "0000 81 AuthMethod=None/TargetPortalGroupTag=1/ | 0000 87 DataDigest=None/MaxRecvDataSegmentLength=1024/",
    "0201 00  | login refused (0201): AuthMethod does not offer None, the only supported method",
    "0000 04 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/ | 0000 04 ImmediateData=No/MaxRecvDataSegmentLength=1024/ | 0000 87 MaxRecvDataSegmentLength=1024/",
    "0000 04 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/ | 020b 00  | login refused (020b): login request is not for the current stage of the login",
    "0000 04  | 0000 87 TargetPortalGroupTag=1/MaxRecvDataSegmentLength=1024/",
    "0000 04  | 0000 04  | 0302 04  | login refused (0302): login text exceeds 16 KiB",
    "opcode 0x00, expected a login request",
    "0200 04  | login refused (0200): key=value pair is not UTF-8",
    "data segment of 8193 bytes exceeds MaxRecvDataSegmentLength (8192 bytes)",
];

const LOGIN_RESPONSES: &[&str] = &[
    "opcode 0x20 during login, expected a login response",
    "login refused, status 0301",
    "invalid text pair \"no pair\": expected key=value",
    "true 0",
    "false 48",
    "HeaderDigest=Reject: expected CRC32C or None",
    "DataDigest=CRC: expected CRC32C or None",
    "true 0",
    "MaxRecvDataSegmentLength=511: expected 512 to 16777215",
    "true 0",
    "InitialR2T=Maybe: expected Yes or No",
    "true 0",
    "ImmediateData=1: expected Yes or No",
    "MaxBurstLength=16777216: expected 512 to 16777215",
    "FirstBurstLength=x: expected 512 to 16777215",
    "iSCSIProtocolLevel=32: expected 0 to 31",
    "true 0",
    "login is not completed after eight further requests",
    "InitiatorName=iqn.i/SessionType=Discovery/HeaderDigest=None,CRC32C/DataDigest=None,CRC32C/MaxRecvDataSegmentLength=1024/InitialR2T=No/ImmediateData=Yes/MaxBurstLength=4096/FirstBurstLength=2048/MaxConnections=1/MaxOutstandingR2T=1/ErrorRecoveryLevel=0/DefaultTime2Wait=0/DefaultTime2Retain=0/iSCSIProtocolLevel=2////",
];

const DEFAULT_OFFER: &str = "InitiatorName=iqn.i/SessionType=Normal/TargetName=iqn.t/\
    HeaderDigest=None,CRC32C/DataDigest=None,CRC32C/MaxRecvDataSegmentLength=262144/InitialR2T=No/\
    ImmediateData=Yes/MaxBurstLength=262144/FirstBurstLength=65536/MaxConnections=1/MaxOutstandingR2T=1/\
    ErrorRecoveryLevel=0/DefaultTime2Wait=0/DefaultTime2Retain=0/iSCSIProtocolLevel=2/";
