package org.acaciamux.internal.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.Placement;
import org.acaciamux.internal.coordination.direct.ReportedLoad;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServiceRoute;

/**
 * Policies that an experiment compares: the router's own decisions, or these with one of
 * them replaced. Immutable and thread-safe.
 */
public enum ExperimentPolicy {

	/** The router's own decisions. */
	ROUTER,

	/** Requests to plain servers are spread and wait for the rest of their time limit. */
	WAIT_FOR_SLOTS {

		@Override
		boolean waitsForSlots() {
			return true;
		}

	},

	/** No request is refused. */
	ADMIT_ALL {

		@Override
		OptionalLong refusal(Admission admission, ServerState server, ServiceRoute route,
				Admission.WaitClass waitClass) {
			return OptionalLong.empty();
		}

	},

	/** Admission treats all organisations alike. */
	EQUAL_CLAIMS {

		@Override
		OptionalLong refusal(Admission admission, ServerState server, ServiceRoute route,
				Admission.WaitClass waitClass) {
			return admission.refusal(server, route, new Admission.WaitClass(waitClass.rank(), false));
		}

	},

	/**
	 * Reported durations of work are ignored; the decisions are those of three figures.
	 */
	IGNORE_SPEED {

		@Override
		ReportedLoad report(ReportedLoad load) {
			return new ReportedLoad(load.running(), load.waiting(), load.slots());
		}

	},

	/** Each request goes to a random engine. */
	RANDOM_ENGINE {

		@Override
		Optional<ServerState> choose(Placement placement, List<ServerState> servers, CallerRequest request,
				SplittableRandom random) {
			return Optional.of(servers.get(random.nextInt(servers.size())));
		}

	};

	Optional<ServerState> choose(Placement placement, List<ServerState> servers, CallerRequest request,
			SplittableRandom random) {
		return placement.choose(RouterModel.SERVICE, request, Set.of());
	}

	OptionalLong refusal(Admission admission, ServerState server, ServiceRoute route, Admission.WaitClass waitClass) {
		return admission.refusal(server, route, waitClass);
	}

	boolean waitsForSlots() {
		return false;
	}

	ReportedLoad report(ReportedLoad load) {
		return load;
	}

	/**
	 * Return the name used in files and reports.
	 * @return the name, for instance {@code admit-all}
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Find a policy.
	 * @param label the name of the policy
	 * @return the policy, empty if there is none of that name
	 */
	public static Optional<ExperimentPolicy> of(String label) {
		return Arrays.stream(values()).filter((policy) -> policy.label().equals(label)).findFirst();
	}

}
