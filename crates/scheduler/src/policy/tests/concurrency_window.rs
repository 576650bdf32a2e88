use super::super::concurrency_window::ConcurrencyWindow;
use super::assert_close;

const OBJECTIVE: f64 = 1_000.0;

#[test]
fn fast_answers_widen_only_a_full_window() {
    let mut window = ConcurrencyWindow::initial(4.0);
    assert_close(window.size(), 2.0);
    window.on_completion(100.0, 100.0, false, OBJECTIVE);
    assert_close(window.size(), 2.0);
    window.on_completion(100.0, 100.0, true, OBJECTIVE);
    assert_close(window.size(), 2.025);
}

#[test]
fn a_high_mean_latency_narrows_the_window_and_one_between_the_bounds_keeps_it() {
    let mut window = ConcurrencyWindow::initial(4.0);
    window.on_completion(100.0, 300.0, true, OBJECTIVE);
    assert_close(window.size(), 2.0);
    window.on_completion(100.0, 330.0, true, OBJECTIVE);
    assert_close(window.size(), 1.9);
}

#[test]
fn a_window_below_one_admits_one_attempt_and_spaces_the_next() {
    let mut window = ConcurrencyWindow::initial(1e9);
    for _ in 0..7 {
        window.on_failure();
    }
    assert!(window.size() < 0.5 && window.size() > 0.4);
    assert!(!window.is_full(0));
    assert!(window.is_full(1));
    assert_close(window.spacing_factor(), 1.0 / window.size() - 1.0);
}

#[test]
fn an_idle_interval_recovers_a_window_below_one_and_leaves_a_wide_one() {
    let mut window = ConcurrencyWindow::initial(1e9);
    window.on_failure();
    let narrowed = window.size();
    window.on_idle_interval();
    assert_close(window.size(), narrowed * 1.1);
    window.on_idle_interval();
    assert_close(window.size(), 1.0);
    let mut wide = ConcurrencyWindow::initial(4.0);
    wide.on_idle_interval();
    assert_close(wide.size(), 2.0);
}
