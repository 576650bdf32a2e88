//! Tests of pending cuts and of requests to quiesce a layer.
use super::{CutRequests, QuiesceRequest};
use mallowseam_cow::consistent_cut::CUT_TIMEOUT;

#[test]
fn a_cut_is_pending_until_it_is_finished_or_has_timed_out() {
    let mut cuts = CutRequests::default();
    cuts.quiesce(1024, "a".to_owned(), 10);
    assert!(cuts.has_pending("a", 10 + CUT_TIMEOUT - 1));
    assert!(!cuts.has_pending("a", 10 + CUT_TIMEOUT));
    assert!(!cuts.has_pending("b", 10));
    cuts.cut_finished("a");
    assert!(!cuts.has_pending("a", 10));
}

#[test]
fn a_layer_is_reported_as_quiesced_once_and_only_without_a_split_write() {
    let mut cuts = CutRequests::default();
    cuts.quiesce(1024, "a".to_owned(), 0);
    cuts.quiesce(1025, "b".to_owned(), 0);
    cuts.quiesce(1024, "a".to_owned(), 0);
    let layers = |requests: Vec<QuiesceRequest>| -> Vec<u32> {
        requests.iter().map(|request| request.layer).collect()
    };
    let quiesced = cuts.take_quiesced(|request| request.layer == 1025);
    assert_eq!(layers(quiesced), [1024]);
    assert!(cuts.is_quiescing());
    assert_eq!(layers(cuts.take_quiesced(|_| false)), [1025]);
    assert!(!cuts.is_quiescing());
}
