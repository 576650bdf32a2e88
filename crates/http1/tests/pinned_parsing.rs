//! Pinned results of the parser: seeded heads, chunks and bodies, fed at once and segmented at every byte. All results,
//! step by step, are hashed and compared with a recorded hash. The hashed texts name results in words of their own,
//! so that renaming a variant changes nothing here.
use mallowseam_http1::{
    ChunkedDecoder, Framing, Limits, MessageSpan, ParseError, RequestHead, RequestReader,
    ResponseHead, ResponseReader,
};
use mallowseam_test_support::{Digest, SeededRng};

const LIMITS: Limits = Limits {
    head: 512,
    body: 256,
};

/// Seeded random choices by index.
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

/// A digest of all that is recorded, and counts of the cases, to show that the input reaches each.
#[derive(Default)]
struct Record {
    digest: Digest,
    seen: std::collections::BTreeMap<&'static str, u32>,
}

impl Record {
    fn bytes(&mut self, bytes: &[u8]) {
        self.digest.add_bytes(bytes);
        self.digest.add_bytes(&[0xff]);
    }

    fn number(&mut self, number: usize) {
        self.bytes(&(number as u64).to_le_bytes());
    }

    fn case(&mut self, name: &'static str) {
        *self.seen.entry(name).or_default() += 1;
        self.bytes(name.as_bytes());
    }

    fn closes(&mut self, closes: bool) {
        self.case(if closes { "closes" } else { "stays" });
    }

    /// Each of these cases has occurred, and the digest is the recorded one.
    fn check(&self, cases: &[&str], recorded: u64) {
        let seen = &self.seen;
        assert!(cases.iter().all(|c| seen.contains_key(c)), "{seen:?}");
        let digest = self.digest.value();
        assert_eq!(digest, recorded, "{digest:#x} {seen:?}");
    }

    fn error(&mut self, error: ParseError) {
        self.case(match error {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
            ParseError::AmbiguousFraming => "framing",
            ParseError::MissingLength => "no length",
            ParseError::Unsupported => "unsupported",
        });
    }

    fn framing(&mut self, framing: Framing) {
        match framing {
            Framing::None => self.case("no body"),
            Framing::Chunked => self.case("chunked"),
            Framing::Length(len) => {
                self.case("length");
                self.number(len);
            }
        }
    }

    /// Records one step; false once the reader is done.
    fn step(&mut self, step: Result<Option<MessageSpan>, ParseError>, buffer: &[u8]) -> bool {
        self.bytes(buffer);
        match step {
            Ok(None) => return true,
            Ok(Some(whole)) => {
                self.case("whole");
                for offset in [whole.start, whole.body, whole.end] {
                    self.number(offset);
                }
            }
            Err(error) => self.error(error),
        }
        false
    }
}

/// Bytes close to a message: mostly valid lines, some invalid, and a few bytes overwritten at times.
fn almost_message(rng: &mut Rng, request: bool) -> Vec<u8> {
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
            let place = rng.below(bytes.len());
            bytes[place] = b"\r\n:; 0a\x00\x7f\xff"[rng.below(10)];
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
fn request_and_response_heads() {
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
        let bytes = almost_message(&mut rng, round % 2 == 0);
        let headers = if round % 2 == 0 {
            match RequestHead::parse(&bytes, LIMITS) {
                Ok(Some(head)) => {
                    record.bytes(head.method.as_bytes());
                    record.bytes(head.target.as_bytes());
                    record.framing(head.framing);
                    record.number(head.len);
                    record.case(if head.close { "closes" } else { "stays" });
                    record.case(if head.expects_continue {
                        "expects"
                    } else {
                        "expects nothing"
                    });
                    record.case(if head.declares_body() {
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
                    record.number(usize::from(head.status));
                    record.framing(head.framing);
                    record.number(head.len);
                    record.case(if head.close { "closes" } else { "stays" });
                    record.case(if head.is_interim() { "ahead" } else { "final" });
                    Ok(head.headers)
                }
                Ok(None) => continue,
                Err(error) => Err(error),
            }
        };
        match headers {
            Ok(headers) => {
                for (name, value) in headers.iter() {
                    record.bytes(name.as_bytes());
                    record.bytes(value);
                }
                for name in names {
                    match headers.single(name) {
                        Ok(Some(value)) => record.bytes(value.as_bytes()),
                        Ok(None) => record.case("no such header"),
                        Err(error) => record.error(error),
                    }
                }
            }
            Err(error) => record.error(error),
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

/// The segments of a message that end at these offsets and at its end.
fn segments<'a>(bytes: &'a [u8], cuts: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    let starts = std::iter::once(0).chain(cuts.iter().copied());
    let ends = cuts.iter().copied().chain([bytes.len()]);
    starts.zip(ends).map(|(start, end)| &bytes[start..end])
}

/// Feeds a message in segments that end at these offsets, and records every step.
fn feed_requests(bytes: &[u8], cuts: &[usize], record: &mut Record) {
    let mut reader = RequestReader::default();
    let mut buffer = Vec::new();
    for segment in segments(bytes, cuts) {
        buffer.extend_from_slice(segment);
        let step = reader.advance(&mut buffer, LIMITS);
        record.closes(reader.closes_connection());
        record.case(if reader.take_expect_continue() {
            "expects"
        } else {
            "expects nothing"
        });
        if !record.step(step, &buffer) {
            return;
        }
    }
    reader.reset();
    record.closes(reader.closes_connection());
}

fn feed_responses(bytes: &[u8], cuts: &[usize], record: &mut Record) {
    let mut reader = ResponseReader::default();
    let mut buffer = Vec::new();
    for segment in segments(bytes, cuts) {
        buffer.extend_from_slice(segment);
        let step = reader.advance(&mut buffer, LIMITS);
        record.number(reader.remaining(buffer.len()).unwrap_or(usize::MAX));
        if !record.step(step, &buffer) {
            return;
        }
    }
}

#[test]
fn messages_segmented_at_every_byte() {
    let (mut rng, mut record) = (Rng::new(2), Record::default());
    for round in 0..160 {
        let bytes = almost_message(&mut rng, round % 2 == 0);
        let feed = if round % 2 == 0 {
            feed_requests
        } else {
            feed_responses
        };
        feed(&bytes, &[], &mut record);
        feed(&bytes, &(1..bytes.len()).collect::<Vec<_>>(), &mut record);
        for cut in 1..bytes.len().min(700) {
            feed(&bytes, &[cut], &mut record);
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
fn chunked_bodies_at_an_offset() {
    let (mut rng, mut record) = (Rng::new(3), Record::default());
    for _ in 0..500 {
        let mut bytes = b"ahead".to_vec();
        bytes.extend(chunks(&mut rng).into_bytes());
        let (mut body, mut buffer, mut from) = (ChunkedDecoder::new(5), bytes[..5].to_vec(), 5);
        let step = 1 + rng.below(60);
        while from < bytes.len() {
            let to = (from + step).min(bytes.len());
            buffer.extend_from_slice(&bytes[from..to]);
            from = to;
            let done = body.decode(&mut buffer, 400);
            record.bytes(&buffer);
            record.number(body.decoded_end());
            record.case(if body.is_complete() {
                "over"
            } else {
                "goes on"
            });
            if let Err(error) = done {
                record.error(error);
                break;
            }
            // Decoded bytes are consumed at times.
            if rng.below(3) == 0 {
                let count = body.decoded_end().min(3);
                drop(buffer.drain(..count));
                body.discard_front(count);
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
fn limits_and_error_messages() {
    assert_eq!(LIMITS.buffer_capacity(), 512 + 256 + 256 + 2_048);
    let words = [
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
    assert_eq!(words, expected);
}

const HEADS: u64 = 0x9045_cca2_4603_ba2e;
const MESSAGES: u64 = 0x0c58_2245_751e_0b88;
const CHUNKS: u64 = 0xad4d_4bb8_dc79_141a;
