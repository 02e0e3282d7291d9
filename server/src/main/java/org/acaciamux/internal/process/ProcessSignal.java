package org.acaciamux.internal.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Runs an action each time the process receives one of the given signals. Uses the JVM's
 * signal class through reflection, because a shutdown hook cannot tell a second signal
 * from the first. Thread-safe; holds no state.
 */
public final class ProcessSignal {

	private ProcessSignal() {
	}

	/**
	 * Run an action each time one of the signals arrives.
	 * @param action the action; called by a thread of the JVM
	 * @param names names of the signals without {@code SIG}, for instance {@code TERM}
	 * @throws ReflectiveOperationException if this JVM does not let processes handle
	 * signals
	 */
	public static void onEach(Runnable action, String... names) throws ReflectiveOperationException {
		Class<?> signalClass = Class.forName("sun.misc.Signal");
		Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
		InvocationHandler invocation = (proxy, method, args) -> switch (method.getName()) {
			case "handle" -> {
				action.run();
				yield null;
			}
			case "hashCode" -> System.identityHashCode(proxy);
			case "equals" -> proxy == args[0];
			default -> "signal handler";
		};
		Object handler = Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] { handlerClass },
				invocation);
		for (String name : names) {
			Object signal = signalClass.getConstructor(String.class).newInstance(name);
			signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
		}
	}

}
