//! Decides whether the members of the log may store a job, by the regions that its bodies are
//! restricted to.

use super::process::Storage;
use brasspond_dispatch::residency::body_regions;
use brasspond_jobs::Submission;

impl Storage {
    /// Whether every member that receives the log may store the job's bodies. Returns true if the
    /// configuration or the job's route is unknown, since no residency rule then applies.
    pub(super) fn may_store(&self, submission: &Submission) -> bool {
        let Some(configuration) = &self.view.configuration else {
            return true;
        };
        let Some(route) = configuration.route(&submission.host, &submission.path) else {
            return true;
        };
        let tenant = submission.tenant.as_deref();
        let regions = body_regions(configuration, route, tenant, &submission.items);
        let mut members = self
            .consensus
            .members()
            .iter()
            .chain(self.consensus.learners());
        members.all(|member| regions.allows(member.region.as_deref()))
    }
}
