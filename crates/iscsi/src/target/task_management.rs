//! Task management functions of a target (sections 11.5 and 11.6).
use super::{TargetConnection, TargetEvent};
use crate::pdu::{Bhs, flag, opcode, task_function, task_response};

/// Bits of byte 1 that hold the task management function.
const FUNCTION_BITS: u8 = 0x7f;

impl TargetConnection {
    pub(super) fn on_task_management_request(&mut self, bhs: &Bhs) {
        let response = match bhs.flags() & FUNCTION_BITS {
            task_function::ABORT_TASK => match self.tasks.index_of(bhs.referenced_task_tag()) {
                Some(index) => {
                    self.abort(index);
                    task_response::FUNCTION_COMPLETE
                }
                None => task_response::TASK_DOES_NOT_EXIST,
            },
            task_function::ABORT_TASK_SET | task_function::LOGICAL_UNIT_RESET => {
                self.abort_all(|lun| lun == bhs.lun());
                task_response::FUNCTION_COMPLETE
            }
            task_function::TARGET_WARM_RESET => {
                self.abort_all(|_| true);
                task_response::FUNCTION_COMPLETE
            }
            _ => task_response::FUNCTION_NOT_SUPPORTED,
        };
        let bhs = Bhs::new(opcode::TASK_MANAGEMENT_RESPONSE, flag::FINAL)
            .with_response(response)
            .with_itt(bhs.itt());
        self.send_response(bhs, &[]);
    }

    /// Aborts the tasks of the logical units that `is_selected` selects by their LUN.
    fn abort_all(&mut self, is_selected: impl Fn(Option<u32>) -> bool) {
        for index in 0..self.tasks.slot_count() {
            if self
                .tasks
                .get(index)
                .is_some_and(|task| is_selected(task.lun))
            {
                self.abort(index);
            }
        }
    }

    fn abort(&mut self, index: usize) {
        if let Some(task) = self.tasks.remove(index)
            && task.write.is_delivered()
        {
            self.events
                .push_back(TargetEvent::CommandAborted { task: index as u32 });
        }
    }
}
