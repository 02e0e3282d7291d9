package org.acaciamux.internal.process;

import java.util.List;
import java.util.Optional;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.PoolViews;
import org.acaciamux.internal.coordination.routing.CandidateChooser;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Records which pools are used, so that a router requests load views of these pools only.
 * Thread-safe if the wrapped chooser is.
 */
final class ViewedPoolChooser implements CandidateChooser {

	private final CandidateChooser chooser;

	private final PoolViews views;

	ViewedPoolChooser(CandidateChooser chooser, PoolViews views) {
		this.chooser = chooser;
		this.views = views;
	}

	@Override
	public List<Trial> plan(PoolSpec pool, List<Member> members, String chat, Optional<String> holder) {
		this.views.use(pool.name());
		return this.chooser.plan(pool, members, chat, holder);
	}

	@Override
	public void served(String pool, String chat, String server) {
		this.chooser.served(pool, chat, server);
	}

}
