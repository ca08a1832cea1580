//! A task that is aborted when its owner is dropped.

use std::future::Future;

use tokio::task::JoinHandle;

/// A task that is aborted when the guard is dropped.
pub(crate) struct TaskGuard {
    task: JoinHandle<()>,
}

impl TaskGuard {
    /// Spawns the task.
    pub(crate) fn spawn(work: impl Future<Output = ()> + Send + 'static) -> TaskGuard {
        let task = tokio::spawn(work);
        TaskGuard { task }
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}
