//! Indices of a slab, conversions of times, and partial reads and writes over seeded streams, compared with recorded
//! digests. Guards against unintended changes of any of them.
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock;
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use mallowseam_sockets::slab::Slab;
use mallowseam_test_support::{Digest, SeededRng, assert_pinned};
use std::io::{Error, ErrorKind, IoSlice, Read, Write};

#[test]
fn assigned_indices_match_the_recorded_digests() {
    assert_pinned(&INDICES, |rng, digest| {
        let mut slab: Slab<u64> = Slab::default();
        for event in 0..4_000 {
            let index = rng.below(40) as u32;
            match rng.below(8) {
                0..=2 => {
                    digest.add(u64::from(slab.next_index()));
                    digest.add(u64::from(slab.insert(event)));
                }
                3..=5 => digest.add_option(slab.remove(index)),
                6 => digest.add_option(slab.get(index).copied()),
                _ => {
                    if let Some(value) = slab.get_mut(index) {
                        *value += 10_000;
                    }
                }
            }
            digest.add(slab.len() as u64);
            digest.add(u64::from(slab.is_empty()));
            digest.add(u64::from(slab.index_bound()));
            if rng.one_in(16) {
                slab.indices()
                    .iter()
                    .for_each(|index| digest.add(u64::from(*index)));
                slab.iter()
                    .for_each(|(index, value)| digest.add(u64::from(index) ^ *value));
            }
        }
    });
}

#[test]
fn converted_times_match_the_recorded_digests() {
    assert_pinned(&TIMES, |rng, digest| {
        for _ in 0..1_000 {
            let bound = rng.pick(&[1_000, 1_000_000, 1 << 40]);
            let (time, ticks) = (rng.below(bound), rng.below(bound) as i64 - 300);
            digest.add(clock::ticks_from_micros_floor(time) as u64);
            digest.add(clock::ticks_from_micros_ceil(time) as u64);
            digest.add(clock::ticks_from_millis(time) as u64);
            digest.add(clock::ticks_to_millis(ticks));
            digest.add(clock::ticks_to_duration(ticks).as_nanos() as u64);
        }
        let mut now = 1_000;
        let mut estimator = ArrivalEstimator::new(now);
        for _ in 0..1_000 {
            let poll_began = now + rng.below(20) as i64;
            now = poll_began + rng.pick(&[0, 0, 1, 2, 3, 50]);
            digest.add(estimator.estimate(poll_began, now) as u64);
        }
    });
}

#[test]
fn a_clock_counts_ticks_of_a_tenth_of_a_millisecond_from_its_start_or_from_the_epoch() {
    let (from_zero, from_epoch) = (clock::Clock::from_zero(), clock::Clock::from_unix_epoch());
    assert!((0..600_000).contains(&from_zero.now()));
    let epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the system time is after 1970");
    assert!((epoch.as_millis() as i64 * 10 - from_epoch.now()).abs() < 600_000);
}

/// Socket that transfers a few bytes at a time, and at random would block, is interrupted or fails.
struct ScriptedSocket<'a> {
    rng: &'a mut SeededRng,
    written: Vec<u8>,
}

impl ScriptedSocket<'_> {
    fn next_result(&mut self, max_count: usize) -> std::io::Result<usize> {
        match self.rng.below(40) {
            0..=5 => Err(ErrorKind::WouldBlock.into()),
            6..=9 => Err(ErrorKind::Interrupted.into()),
            10 => Err(Error::other("cable pulled")),
            11 => Ok(0),
            _ => Ok(max_count.min(1 + self.rng.below(9) as usize)),
        }
    }
}

impl Write for ScriptedSocket<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let count = self.next_result(bytes.len())?;
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn write_vectored(&mut self, slices: &[IoSlice]) -> std::io::Result<usize> {
        self.write(
            &slices
                .iter()
                .flat_map(|slice| slice.iter().copied())
                .collect::<Vec<u8>>(),
        )
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Read for ScriptedSocket<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let count = self.next_result(buffer.len())?;
        buffer[..count].fill(7);
        Ok(count)
    }
}

#[test]
fn partial_reads_and_writes_match_the_recorded_digests() {
    assert_pinned(&TRANSFERS, |rng, digest| {
        for _ in 0..400 {
            let bytes: Vec<u8> = (0..rng.below(60)).map(|_| rng.below(256) as u8).collect();
            transfer(rng, digest, &bytes);
        }
    });
}

fn transfer(rng: &mut SeededRng, digest: &mut Digest, bytes: &[u8]) {
    let (body_start, head_len) = (rng.below(20) as usize, rng.below(10) as usize);
    let mut socket = ScriptedSocket {
        rng,
        written: Vec::new(),
    };

    match nonblocking::read(&mut socket, &mut [0; 16]) {
        ReadOutcome::WouldBlock => digest.add(1),
        ReadOutcome::Read(count) => digest.add(100 + count as u64),
        ReadOutcome::Closed(error) => digest.add_bytes(error.to_string().as_bytes()),
    }
    match nonblocking::write(&mut socket, bytes) {
        Ok(count) => digest.add(count as u64),
        Err(error) => {
            digest.add(error.written as u64);
            digest.add_bytes(error.source.to_string().as_bytes());
        }
    }
    let mut buffer = bytes.to_vec();
    for _ in 0..3 {
        add_error(digest, nonblocking::write_buffer(&mut socket, &mut buffer));
        digest.add(buffer.len() as u64);
    }
    let mut message = OutgoingMessage::default();
    for _ in 0..2 {
        message
            .head
            .extend_from_slice(&bytes[..head_len.min(bytes.len())]);
        message.set_body(bytes.to_vec(), body_start.min(bytes.len()), bytes.len());
        digest.add(u64::from(message.capacity() >= bytes.len()));
        let mut write_count = 0;
        while !message.is_empty() && write_count < 50 {
            add_error(digest, message.write_to(&mut socket));
            write_count += 1;
        }
        digest.add(write_count);
        digest.add(u64::from(message.is_empty()));
    }
    digest.add_bytes(&socket.written);
}

fn add_error(digest: &mut Digest, result: Result<(), ConnectionError>) {
    let text = result
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default();
    digest.add_bytes(text.as_bytes());
}

const INDICES: [u64; 20] = [
    0xda58_70f9_050c_0d75,
    0x3367_c5b5_eec8_8477,
    0xe867_607a_f227_a332,
    0xb7cf_67ea_f878_a95d,
    0xfc7c_1ba5_e243_b940,
    0xbc72_d7b4_2067_092a,
    0x4623_4273_5af4_2dfb,
    0xa890_ef91_bf7a_86c7,
    0xccd1_8a48_4017_cb1f,
    0x6509_d552_47b2_67ba,
    0x65a3_39e9_6a0a_62b4,
    0x4815_b77e_fa90_aabd,
    0x8340_11bc_a002_5187,
    0x925f_eb11_57a3_074d,
    0x79ea_c760_259c_e080,
    0xf4dd_c2d1_8ce1_1a62,
    0x8935_2487_eefa_36bb,
    0x19ef_e96c_fbcc_8a0b,
    0xb7ef_70d8_868a_b686,
    0x7592_329e_bece_0fab,
];

const TIMES: [u64; 20] = [
    0x1ef7_a03d_02a5_57cb,
    0x52d5_c050_b030_6bb4,
    0x15ae_1b12_d700_f2e4,
    0x3903_1d04_821c_99f5,
    0x154c_45ec_b4dc_a83c,
    0xf38e_3dfe_8de9_b4f0,
    0xd65d_dc16_0b6e_99f0,
    0x5efb_9a22_f2d3_e995,
    0x0417_384f_6795_2fa6,
    0xd188_f902_8011_24bf,
    0xa8c9_9a8d_0662_3da7,
    0xc877_4bc4_edc9_dae4,
    0xa437_a336_c356_6277,
    0xd923_9b8c_80fe_b85b,
    0xeb15_1717_cad4_fd35,
    0x1eff_a78b_d68d_d387,
    0xdc6b_2f26_ccdd_0281,
    0x6918_0a6d_d1df_d4fc,
    0xfb65_5cce_f8ce_7c2b,
    0x57f4_2b2f_7ab2_313d,
];

const TRANSFERS: [u64; 20] = [
    0x2d28_dde0_c96c_d38d,
    0x9cdf_7604_b7a9_000d,
    0xdb71_8679_976f_6d6c,
    0xf4c9_3dc4_7b13_98f4,
    0xcfd0_b60e_1a37_db07,
    0x8f02_b8eb_ab07_4d83,
    0xc688_6621_19dc_2f57,
    0x967d_9c96_bd2a_66de,
    0xc493_d863_d0f0_8f8a,
    0x450f_0eae_bad0_ca57,
    0x0ce2_e08e_b604_e3a4,
    0x7e24_2d0e_d53d_98b6,
    0x5d44_4e99_33b8_6217,
    0x23b1_1e24_f535_b753,
    0x0ad4_fbda_6b1b_08c9,
    0xfea6_eb9e_92a6_47e4,
    0x69e2_083d_b4b2_376b,
    0x44d9_986e_7cf9_730d,
    0xc67f_1b12_bb86_6087,
    0x1823_c52a_ca32_541f,
];
