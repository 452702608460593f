package topology

// RelayTargets returns the VMs to which this one passes on a message that another VM has sent it: a hub passes on that of a
// follower to all others that exchange reports with it, and that of another hub to its followers. The message reaches every VM
// once.
func (p *Plan) RelayTargets(sender string) []string {
	if !p.IsHub() {
		return nil
	}
	var out []string
	for _, partner := range p.Partners {
		if partner.Name != sender && (p.Follows(partner.Name) || !p.isHub(sender)) {
			out = append(out, partner.Name)
		}
	}
	return out
}
