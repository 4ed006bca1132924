//go:build review

package main

func init() { cases["2"] = voterLost }

// voterLost: one of three voters of the control plane is lost for good; a majority is left. No message that another forwarder has
// taken on may be lost.
func voterLost(rec *record, trouble bool) (broken []string, err error) {
	s, err := open(rec, twoBuildings)
	if err != nil {
		return nil, err
	}
	defer s.close()
	_, _, messages, err := jump(s)
	if err != nil {
		return nil, err
	}
	if trouble {
		s.members[0].kill()
	}
	s.awaitEnds(messages)
	return s.lost(messages), nil
}
