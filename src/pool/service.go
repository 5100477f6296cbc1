package pool

import (
	"context"
)

// Service is the owner's net/rpc face.
type Service struct{ owner *Owner }

// Acquire answers a Request.
func (s *Service) Acquire(r Request, reply *Reply) error {
	*reply = s.owner.Acquire(context.Background(), r)
	return nil
}

// Release answers a Release.
func (s *Service) Release(r Release, _ *ReleaseReply) error {
	s.owner.Release(r)
	return nil
}

// Load answers with a cell's load.
func (s *Service) Load(args LoadArgs, reply *Reply) error {
	*reply = s.owner.Load(args.Cell)
	return nil
}

// Keep remembers a use of the service for another daemon.
func (s *Service) Keep(r Release, _ *ReleaseReply) error {
	if s.owner.shadow != nil {
		s.owner.shadow.Keep(r)
	}
	return nil
}

// Renew answers a Renewal.
func (s *Service) Renew(r Renewal, reply *RenewalReply) error {
	*reply = s.owner.Renew(r)
	return nil
}
