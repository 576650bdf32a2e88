//! Pinned results of the parser for seeded heads, chunks and bodies, read at once and segmented at every byte. The
//! results of all steps are hashed and compared with a recorded hash. Guards against unintended changes of the parser.
//! The hashed texts have their own names for results, so that renaming a variant does not change the hash.
use mallowseam_http1::{
    ChunkedDecoder, Framing, Limits, MessageSpan, ParseError, RequestHead, RequestReader,
    ResponseHead, ResponseReader,
};
use mallowseam_test_support::{Digest, SeededRng};

const LIMITS: Limits = Limits {
    head: 512,
    body: 256,
};

/// Seeded random number generator for indices.
struct Rng(SeededRng);

impl Rng {
    fn new(seed: u64) -> Self {
        Rng(SeededRng::new(seed))
    }

    fn below(&mut self, bound: usize) -> usize {
        self.0.below(bound as u64) as usize
    }

    fn one_of<'a>(&mut self, all: &[&'a str]) -> &'a str {
        all[self.below(all.len())]
    }
}

/// Digest of all recorded results, and a count of each case, which shows that the input reaches all cases.
#[derive(Default)]
struct Record {
    digest: Digest,
    case_counts: std::collections::BTreeMap<&'static str, u32>,
}

impl Record {
    fn add_bytes(&mut self, bytes: &[u8]) {
        self.digest.add_bytes(bytes);
        self.digest.add_bytes(&[0xff]);
    }

    fn add_number(&mut self, number: usize) {
        self.add_bytes(&(number as u64).to_le_bytes());
    }

    fn add_case(&mut self, name: &'static str) {
        *self.case_counts.entry(name).or_default() += 1;
        self.add_bytes(name.as_bytes());
    }

    fn add_closes(&mut self, closes: bool) {
        self.add_case(if closes { "closes" } else { "stays" });
    }

    /// Asserts that each of the cases has occurred, and that the digest is the recorded one.
    fn check(&self, cases: &[&str], recorded: u64) {
        let counts = &self.case_counts;
        assert!(cases.iter().all(|c| counts.contains_key(c)), "{counts:?}");
        let digest = self.digest.value();
        assert_eq!(digest, recorded, "{digest:#x} {counts:?}");
    }

    fn add_error(&mut self, error: ParseError) {
        self.add_case(match error {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
            ParseError::AmbiguousFraming => "framing",
            ParseError::MissingLength => "no length",
            ParseError::Unsupported => "unsupported",
        });
    }

    fn add_framing(&mut self, framing: Framing) {
        match framing {
            Framing::None => self.add_case("no body"),
            Framing::Chunked => self.add_case("chunked"),
            Framing::Length(len) => {
                self.add_case("length");
                self.add_number(len);
            }
        }
    }

    /// Records the result of one step. Returns false once the message is complete or rejected.
    fn add_step(&mut self, step: Result<Option<MessageSpan>, ParseError>, buffer: &[u8]) -> bool {
        self.add_bytes(buffer);
        match step {
            Ok(None) => return true,
            Ok(Some(span)) => {
                self.add_case("whole");
                for offset in [span.start, span.body, span.end] {
                    self.add_number(offset);
                }
            }
            Err(error) => self.add_error(error),
        }
        false
    }
}

/// Returns bytes that resemble a message: mostly valid lines, some invalid ones, and at times a few overwritten bytes.
fn message_like_bytes(rng: &mut Rng, request: bool) -> Vec<u8> {
    let mut text = String::new();
    if request {
        let methods = 3 + usize::from(rng.below(20) == 0);
        text += rng.one_of(&["GET", "PUT", "POST", "PU T"][..methods]);
        text += rng.one_of(&[" /a", " /book/0/1?x=%20", " *"]);
        let version = rng.below(24).saturating_sub(19);
        text += [
            " HTTP/1.1\r\n",
            " HTTP/1.0\r\n",
            " HTTP/1.0\r\n",
            " HTTP/2.0\r\n",
            "\r\n",
        ][version];
        if rng.below(12) > 0 {
            text += "Host: s\r\n";
        }
    } else {
        for _ in 0..[0, 0, 0, 1, 2, 9][rng.below(6)] {
            text += rng.one_of(&[
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n",
            ]);
        }
        text += rng.one_of(&[
            "HTTP/1.1 ",
            "HTTP/1.1 ",
            "HTTP/1.1 ",
            "HTTP/1.1 ",
            "HTTP/1.1 ",
            "HTTP/1.0 ",
        ]);
        let status = rng.below(30).saturating_sub(20);
        text += [
            "200 OK", "200", "503 X", "204 X", "304 X", "101 X", "099 X", "600 X", "2x0 X",
            "500 Y Z",
        ][status];
        text += "\r\n";
    }
    for _ in 0..rng.below(4) {
        text += rng.one_of(&[
            "X: y\r\n",
            "X-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
            "Connection: close\r\n",
            "connection: x, Keep-Alive \r\n",
            "Connection: CLOSE , x\r\n",
            "Expect: 100-continue\r\n",
            "X: \u{e9}\r\n",
        ]);
    }
    if rng.below(15) == 0 {
        text += rng.one_of(&["Host: t\r\n", " folded\r\n", "bad name: 1\r\n"]);
    }
    if rng.below(40) == 0 {
        text += &"A: 1\r\n".repeat(60 + rng.below(10));
    }
    let chunked = rng.below(3) == 0;
    if chunked {
        text += rng.one_of(&[
            "Transfer-Encoding: chunked\r\n",
            "transfer-encoding: Chunked \r\n",
        ]);
    }
    if !chunked && rng.below(3) > 0 {
        text += rng.one_of(&[
            "",
            "Content-Length: 0\r\n",
            "content-length:  12 \r\n",
            "Content-Length: 256\r\n",
        ]);
    } else if !chunked || rng.below(10) == 0 {
        text += rng.one_of(&[
            "Content-Length: 5\r\n",
            "Content-Length: 257\r\n",
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            "Content-Length: +5\r\n",
            "Content-Length: 5, 5\r\n",
            "Content-Length:\r\n",
            "Content-Length: 99999999999999999999999\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        ]);
    }
    text += "\r\n";
    text += &if chunked {
        chunks(rng)
    } else {
        "hello, and more of a body".repeat(rng.below(13))
    };
    text += rng.one_of(&["", "", "GET /next HTTP/1.1\r\n"]);
    let mut bytes = text.into_bytes();
    if rng.below(8) == 0 {
        for _ in 0..=rng.below(3) {
            let position = rng.below(bytes.len());
            bytes[position] = b"\r\n:; 0a\x00\x7f\xff"[rng.below(10)];
        }
    }
    bytes
}

fn chunks(rng: &mut Rng) -> String {
    let mut text = String::new();
    for _ in 0..rng.below(6) {
        let len = [1, 3, 10, 17, 100, 255][rng.below(6)];
        let size_line = match rng.below(6) {
            0 => format!("{len:X};x=y\r\n"),
            1 => format!("00{len:x} \r\n"),
            _ => format!("{len:x}\r\n"),
        };
        text += &size_line;
        text += &"abcdefghij".repeat(26)[..len];
        text += if rng.below(30) == 0 { "\n" } else { "\r\n" };
    }
    text += rng.one_of(&[
        "0\r\n",
        "0\r\n",
        "0\r\n",
        "0\r\n",
        "00;last\r\n",
        "x\r\n",
        "fffffffff\r\n",
        "-1\r\n",
    ]);
    if rng.below(30) == 0 {
        text += "1;";
        text += &"x".repeat(240 + rng.below(30));
    }
    text += rng.one_of(&["", "", "T: 1\r\n", "T: 1\r\nU: 2\r\n", "T\n"]);
    if rng.below(30) == 0 {
        text += &"T: 345\r\n".repeat(250 + rng.below(10));
    }
    text + "\r\n"
}

#[test]
fn parsed_heads_match_the_recorded_hash() {
    let (mut rng, mut record) = (Rng::new(1), Record::default());
    let names = [
        "Host",
        "x",
        "Content-Length",
        "Connection",
        "Transfer-Encoding",
        "Expect",
        "None",
    ];
    for round in 0..4_000 {
        let bytes = message_like_bytes(&mut rng, round % 2 == 0);
        let headers = if round % 2 == 0 {
            match RequestHead::parse(&bytes, LIMITS) {
                Ok(Some(head)) => {
                    record.add_bytes(head.method.as_bytes());
                    record.add_bytes(head.target.as_bytes());
                    record.add_framing(head.framing);
                    record.add_number(head.len);
                    record.add_case(if head.close { "closes" } else { "stays" });
                    record.add_case(if head.expects_continue {
                        "expects"
                    } else {
                        "expects nothing"
                    });
                    record.add_case(if head.declares_body() {
                        "states a length"
                    } else {
                        "states none"
                    });
                    Ok(head.headers)
                }
                Ok(None) => continue,
                Err(error) => Err(error),
            }
        } else {
            match ResponseHead::parse(&bytes, LIMITS) {
                Ok(Some(head)) => {
                    record.add_number(usize::from(head.status));
                    record.add_framing(head.framing);
                    record.add_number(head.len);
                    record.add_case(if head.close { "closes" } else { "stays" });
                    record.add_case(if head.is_interim() { "ahead" } else { "final" });
                    Ok(head.headers)
                }
                Ok(None) => continue,
                Err(error) => Err(error),
            }
        };
        match headers {
            Ok(headers) => {
                for (name, value) in headers.iter() {
                    record.add_bytes(name.as_bytes());
                    record.add_bytes(value);
                }
                for name in names {
                    match headers.single(name) {
                        Ok(Some(value)) => record.add_bytes(value.as_bytes()),
                        Ok(None) => record.add_case("no such header"),
                        Err(error) => record.add_error(error),
                    }
                }
            }
            Err(error) => record.add_error(error),
        }
    }
    let cases = [
        "ahead",
        "chunked",
        "closes",
        "expects",
        "framing",
        "head too large",
        "length",
        "malformed",
        "no length",
    ];
    record.check(&cases, HEADS);
}

/// Returns the segments of a message that end at the given offsets and at its end.
fn segments<'a>(bytes: &'a [u8], cuts: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let starts = std::iter::once(0).chain(cuts.iter().copied());
    let ends = cuts.iter().copied().chain([bytes.len()]);
    starts.zip(ends).map(|(start, end)| &bytes[start..end])
}

/// Reads a request in segments that end at the given offsets, and records every step.
fn record_request(bytes: &[u8], cuts: &[usize], record: &mut Record) {
    let mut reader = RequestReader::default();
    let mut buffer = Vec::new();
    for segment in segments(bytes, cuts) {
        buffer.extend_from_slice(segment);
        let step = reader.advance(&mut buffer, LIMITS);
        record.add_closes(reader.closes_connection());
        record.add_case(if reader.take_expect_continue() {
            "expects"
        } else {
            "expects nothing"
        });
        if !record.add_step(step, &buffer) {
            return;
        }
    }
    reader.reset();
    record.add_closes(reader.closes_connection());
}

/// Reads a response in segments that end at the given offsets, and records every step.
fn record_response(bytes: &[u8], cuts: &[usize], record: &mut Record) {
    let mut reader = ResponseReader::default();
    let mut buffer = Vec::new();
    for segment in segments(bytes, cuts) {
        buffer.extend_from_slice(segment);
        let step = reader.advance(&mut buffer, LIMITS);
        record.add_number(reader.remaining(buffer.len()).unwrap_or(usize::MAX));
        if !record.add_step(step, &buffer) {
            return;
        }
    }
}

#[test]
fn messages_segmented_at_every_byte_match_the_recorded_hash() {
    let (mut rng, mut record) = (Rng::new(2), Record::default());
    for round in 0..160 {
        let bytes = message_like_bytes(&mut rng, round % 2 == 0);
        let record_message = if round % 2 == 0 {
            record_request
        } else {
            record_response
        };
        record_message(&bytes, &[], &mut record);
        record_message(&bytes, &(1..bytes.len()).collect::<Vec<_>>(), &mut record);
        for cut in 1..bytes.len().min(700) {
            record_message(&bytes, &[cut], &mut record);
        }
    }
    let cases = [
        "body too large",
        "expects",
        "framing",
        "head too large",
        "no length",
        "unsupported",
        "whole",
    ];
    record.check(&cases, MESSAGES);
}

#[test]
fn chunked_bodies_at_an_offset_match_the_recorded_hash() {
    let (mut rng, mut record) = (Rng::new(3), Record::default());
    for _ in 0..500 {
        let mut bytes = b"ahead".to_vec();
        bytes.extend(chunks(&mut rng).into_bytes());
        let (mut decoder, mut buffer, mut received) =
            (ChunkedDecoder::new(5), bytes[..5].to_vec(), 5);
        let step = 1 + rng.below(60);
        while received < bytes.len() {
            let end = (received + step).min(bytes.len());
            buffer.extend_from_slice(&bytes[received..end]);
            received = end;
            let result = decoder.decode(&mut buffer, 400);
            record.add_bytes(&buffer);
            record.add_number(decoder.decoded_end());
            record.add_case(if decoder.is_complete() {
                "over"
            } else {
                "goes on"
            });
            if let Err(error) = result {
                record.add_error(error);
                break;
            }
            // At times the test consumes decoded bytes, as a caller does.
            if rng.below(3) == 0 {
                let count = decoder.decoded_end().min(3);
                drop(buffer.drain(..count));
                decoder.discard_front(count);
            }
        }
    }
    let cases = [
        "body too large",
        "framing",
        "goes on",
        "head too large",
        "over",
    ];
    record.check(&cases, CHUNKS);
}

#[test]
fn buffer_capacity_and_error_messages_are_the_recorded_ones() {
    assert_eq!(LIMITS.buffer_capacity(), 512 + 256 + 256 + 2_048);
    let messages = [
        ParseError::Malformed,
        ParseError::HeadTooLarge,
        ParseError::BodyTooLarge,
        ParseError::AmbiguousFraming,
        ParseError::MissingLength,
        ParseError::Unsupported,
    ]
    .map(ParseError::message);
    let expected = [
        "malformed",
        "head too large",
        "body too large",
        "ambiguous framing",
        "no length",
        "unsupported",
    ];
    assert_eq!(messages, expected);
}

const HEADS: u64 = 0x9045_cca2_4603_ba2e;
const MESSAGES: u64 = 0x0c58_2245_751e_0b88;
const CHUNKS: u64 = 0xad4d_4bb8_dc79_141a;
