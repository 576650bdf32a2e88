//! iSCSI and SCSI as seen by a client: discovery, error responses, malformed PDUs and logins.
use crate::site::{BLOCKS, Site, TARGET, read};
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::Bhs;
use mallowseam_iscsi::pdu::flag;
use mallowseam_iscsi::pdu::opcode;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::Sense;
use mallowseam_iscsi::scsi::status;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn discovery_and_inquiry_describe_the_logical_units() {
    let site = Site::new(10.0);
    let mut found =
        BlockingClient::open(site.address, None, 1).expect("cannot open a discovery session");
    found.conn.send_text_request(b"SendTargets=All\0");
    let Ok(InitiatorEvent::TextResponse(text)) = found.next_event() else {
        panic!("no response to SendTargets")
    };
    assert!(String::from_utf8_lossy(&text).starts_with(&format!("TargetName={TARGET}\0")));

    let mut client = site.client(1);
    let mut cdb = [0; 16];
    (cdb[0], cdb[9]) = (0xa0, 64);
    let luns = client
        .execute(0, &cdb, 64, vec![])
        .expect("no answer to REPORT LUNS")
        .data;
    assert_eq!((luns.len(), luns[3], luns[9], luns[17]), (24, 16, 0, 7));
    let mut cdb = [0; 16];
    (cdb[0], cdb[1], cdb[13]) = (0x9e, 0x10, 32);
    let capacity = client
        .execute(0, &cdb, 32, vec![])
        .expect("no answer to READ CAPACITY (16)")
        .data;
    assert_eq!(capacity[..8], (BLOCKS - 1).to_be_bytes());
    let mut cdb = [0; 16];
    (cdb[0], cdb[4]) = (0x12, 36);
    assert_eq!(
        client
            .execute(0, &cdb, 36, vec![])
            .expect("no answer to INQUIRY")
            .data[0],
        0
    );
    assert_eq!(
        client
            .execute(3, &cdb, 36, vec![])
            .expect("no answer to INQUIRY of an absent unit")
            .data[0],
        0x7f
    );
}

#[test]
fn invalid_commands_are_rejected_with_sense_data_and_not_admitted() {
    let site = Site::new(10.0);
    let mut client = site.client(1);
    let mut sense_of = |lun, cdb: [u8; 16], read_len, data| {
        let answer = client
            .execute(lun, &cdb, read_len, data)
            .expect("no answer to the request");
        assert_eq!(answer.status, status::CHECK_CONDITION);
        answer.sense.expect("no sense data")
    };
    assert_eq!(
        sense_of(0, scsi::read_or_write_16(false, BLOCKS, 1, 0), 512, vec![]),
        Sense::LBA_OUT_OF_RANGE
    );
    assert_eq!(
        sense_of(
            0,
            scsi::read_or_write_16(false, u64::MAX, 2, 0),
            1024,
            vec![]
        ),
        Sense::LBA_OUT_OF_RANGE
    );
    assert_eq!(
        sense_of(3, scsi::read_or_write_16(false, 0, 1, 0), 512, vec![]),
        Sense::LOGICAL_UNIT_NOT_SUPPORTED
    );
    assert_eq!(
        sense_of(
            0,
            scsi::read_or_write_16(false, 0, 4096, 0),
            2 << 20,
            vec![]
        ),
        Sense::INVALID_FIELD_IN_CDB
    );
    assert_eq!(
        sense_of(0, scsi::read_or_write_16(true, 0, 2, 0), 0, vec![1; 512]),
        Sense::INVALID_FIELD_IN_CDB
    );
    assert_eq!(
        sense_of(0, [0xfe; 16], 0, vec![]),
        Sense::INVALID_OPERATION_CODE
    );
    assert_eq!(site.status().commands.admitted, 0);
}

#[test]
fn malformed_pdus_close_their_own_connection_only() {
    let site = Site::new(10.0);
    let mut other = site.client(1);
    let oversized_write = Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE);
    let write = Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE)
        .with_cdb(&scsi::read_or_write_16(true, 0, 8, 0));
    let corpus: Vec<(&str, Bhs, usize)> = vec![
        (
            "a login after login",
            Bhs::new(opcode::LOGIN_REQUEST, 0x87),
            0,
        ),
        (
            "a target's opcode",
            Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL),
            0,
        ),
        ("an undefined opcode", Bhs::new(0x3b, flag::FINAL), 0),
        (
            "a command whose CmdSN skips others",
            write
                .with_cmd_sn(3)
                .with_itt(9)
                .with_expected_data_len(4096),
            0,
        ),
        (
            "the reserved tag",
            write.with_itt(0xffff_ffff).with_expected_data_len(4096),
            4096,
        ),
        (
            "more immediate data than the write transfers",
            write.with_expected_data_len(512),
            4096,
        ),
        (
            "too much unsolicited data",
            write.with_expected_data_len(1 << 19),
            100_000,
        ),
        (
            "a write longer than the maximum",
            oversized_write
                .with_expected_data_len(64 << 20)
                .with_byte(1, flag::WRITE),
            0,
        ),
        (
            "a data segment longer than negotiated",
            write.with_expected_data_len(1 << 20),
            600_000,
        ),
        (
            "a malformed text request",
            Bhs::new(opcode::TEXT_REQUEST, flag::FINAL),
            64,
        ),
    ];
    for (i, (name, bhs, len)) in corpus.into_iter().enumerate() {
        let mut client = site.client(100 + i as u32);
        let mut out = SendBuffer::default();
        let bhs = if bhs.cmd_sn() == 0 {
            bhs.with_cmd_sn(1)
        } else {
            bhs
        };
        out.push(bhs, &vec![0xff; len]);
        let _ = client.socket.write_all(out.unsent());
        let mut rest = Vec::new();
        let closed = client.socket.read_to_end(&mut rest);
        assert!(
            closed.is_ok() || closed.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock),
            "{name}: the connection stays open"
        );
        assert_eq!(read(&mut other, 0, 8), [Some(0); 8], "{name}");
    }
    // An opcode that is not supported is rejected, and the connection stays open.
    let mut client = site.client(200);
    let mut out = SendBuffer::default();
    out.push(Bhs::new(opcode::SNACK, flag::FINAL), &[]);
    client
        .socket
        .write_all(out.unsent())
        .expect("cannot send to the host");
    let mut answer = [0; 96];
    client
        .socket
        .read_exact(&mut answer)
        .expect("no Reject PDU");
    assert_eq!((answer[0], answer[2]), (opcode::REJECT, 0x05));
}

#[test]
fn unfinished_login_times_out_and_a_second_login_replaces_the_session() {
    let site = Site::new(10.0);
    let mut unfinished = TcpStream::connect(site.address).expect("cannot connect to the host");
    let mut conn =
        InitiatorConnection::new("iqn.half", Some(TARGET), [0; 6], &ProposedParams::default());
    let bytes = conn.send_buffer().unsent();
    unfinished
        .write_all(&bytes[..bytes.len() / 2])
        .expect("cannot send to the host");
    unfinished
        .set_read_timeout(Some(Duration::from_secs(12)))
        .expect("cannot set the read timeout");
    let mut first = site.client(1);
    let mut second = site.client(1);
    assert_eq!(read(&mut second, 0, 1), [Some(0)]);
    assert!(
        first.next_event().is_err(),
        "the replaced connection is still open"
    );
    assert_eq!(
        unfinished
            .read(&mut [0; 8])
            .expect("unfinished login was not closed"),
        0
    );
}
