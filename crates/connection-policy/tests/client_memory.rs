//! Tests of the limit on the memory that the data of clients takes.
use mallowseam_connection_policy::client_memory::ClientMemory;

#[test]
fn commands_are_admitted_up_to_half_of_the_limit_and_again_once_others_are_released() {
    let mut memory = ClientMemory::new(200, 10);
    assert!(memory.admits_command(100));
    memory.command_admitted(100);
    assert!(!memory.admits_command(1));
    memory.command_released(40);
    assert!(memory.admits_command(40));
    assert!(!memory.admits_command(41));
}

#[test]
fn the_largest_command_is_admitted_under_any_limit() {
    assert!(ClientMemory::new(0, 10).admits_command(10));
}

#[test]
fn the_connection_that_has_made_no_progress_for_longest_is_closed() {
    let mut memory = ClientMemory::new(200, 10);
    memory.buffers_changed(1, 5, 40, false);
    memory.buffers_changed(2, 6, 30, false);
    memory.buffers_changed(3, 7, 30, false);
    assert_eq!(
        memory.connection_to_close(),
        None,
        "the limit is not exceeded"
    );
    memory.buffers_changed(1, 8, 41, true);
    assert_eq!(memory.connection_to_close(), Some(2));
    memory.connection_closed(2);
    assert_eq!(memory.connection_to_close(), None);
    assert_eq!(memory.used(), 71);
}

#[test]
fn a_connection_with_empty_buffers_starts_anew() {
    let mut memory = ClientMemory::new(20, 1);
    memory.buffers_changed(1, 5, 6, false);
    memory.buffers_changed(1, 6, 0, false);
    memory.buffers_changed(2, 7, 6, false);
    memory.buffers_changed(1, 8, 6, false);
    assert_eq!(memory.connection_to_close(), Some(2));
}
