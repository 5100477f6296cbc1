package pool

import (
	"context"
)

// Service exposes an Owner over net/rpc.
type Service struct{ owner *Owner }

// Acquire handles a Request.
func (s *Service) Acquire(r Request, reply *Reply) error {
	*reply = s.owner.Acquire(context.Background(), r)
	return nil
}

// Release handles a Release.
func (s *Service) Release(r Release, _ *ReleaseReply) error {
	s.owner.Release(r)
	return nil
}

// Load returns a cell's load.
func (s *Service) Load(args LoadArgs, reply *Reply) error {
	*reply = s.owner.Load(args.Cell)
	return nil
}

// Keep stores a use of the service for another daemon.
func (s *Service) Keep(r Release, _ *ReleaseReply) error {
	if s.owner.usageReplica != nil {
		s.owner.usageReplica.Keep(r)
	}
	return nil
}

// Renew handles a Renewal.
func (s *Service) Renew(r Renewal, reply *RenewalReply) error {
	*reply = s.owner.Renew(r)
	return nil
}
