//! Wire format between balancers and agents.
